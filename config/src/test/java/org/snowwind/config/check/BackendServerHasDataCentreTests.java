package org.snowwind.config.check;

import org.junit.jupiter.api.Test;
import org.snowwind.model.resource.BackendServerSpec;
import org.snowwind.model.resource.ResourceKind;

import static org.assertj.core.api.Assertions.assertThat;

class BackendServerHasDataCentreTests {

	private final ResourceCheck check = new BackendServerHasDataCentre();

	@Test
	void accepted() {
		assertThat(CheckFixture.check(this.check, CheckFixture.resource(ResourceKind.BACKEND_SERVER, "s",
				new BackendServerSpec("casa-1", "10.0.0.1:1", "10.0.0.1:2", null, null))))
			.isEmpty();
	}

	@Test
	void found() {
		assertThat(CheckFixture.check(this.check, CheckFixture.resource(ResourceKind.BACKEND_SERVER, "s",
				new BackendServerSpec(null, "10.0.0.1:1", "10.0.0.1:2", null, null))))
			.hasSize(1);
		assertThat(CheckFixture.check(this.check, CheckFixture.resource(ResourceKind.BACKEND_SERVER, "s",
				new BackendServerSpec("Casa 1", "10.0.0.1:1", "10.0.0.1:2", null, null))))
			.hasSize(1);
	}

}
