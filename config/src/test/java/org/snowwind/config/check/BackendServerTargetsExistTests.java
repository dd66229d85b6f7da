package org.snowwind.config.check;

import org.junit.jupiter.api.Test;
import org.snowwind.model.resource.ResourceKind;
import org.snowwind.model.resource.ServiceSpec;

import static org.assertj.core.api.Assertions.assertThat;

class BackendServerTargetsExistTests {

	private final ResourceCheck check = new BackendServerTargetsExist();

	@Test
	void accepted() {
		assertThat(CheckFixture.check(this.check, CheckFixture.server("s", "10.0.0.1:720", "desk"),
				CheckFixture.resource(ResourceKind.SERVICE, "desk", new ServiceSpec(null))))
			.isEmpty();
	}

	@Test
	void found() {
		assertThat(CheckFixture.check(this.check, CheckFixture.server("s", "10.0.0.1:720", "desc"),
				CheckFixture.resource(ResourceKind.SERVICE, "desk", new ServiceSpec(null))))
			.hasSize(1);
	}

}
