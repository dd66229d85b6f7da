package org.snowwind.config.check;

import org.junit.jupiter.api.Test;
import org.snowwind.model.resource.ModelGroupSpec;
import org.snowwind.model.resource.ResourceKind;
import org.snowwind.model.resource.ServiceSpec;

import static org.assertj.core.api.Assertions.assertThat;

class TargetNameIsUnambiguousTests {

	private final ResourceCheck check = new TargetNameIsUnambiguous();

	@Test
	void accepted() {
		assertThat(CheckFixture.check(this.check,
				CheckFixture.resource(ResourceKind.SERVICE, "desk", new ServiceSpec(null)),
				CheckFixture.group("chat", new ModelGroupSpec("chat", 1, 1, 0, 0, null))))
			.isEmpty();
	}

	@Test
	void found() {
		assertThat(CheckFixture.check(this.check,
				CheckFixture.resource(ResourceKind.SERVICE, "desk", new ServiceSpec(null)),
				CheckFixture.group("desk", new ModelGroupSpec("chat", 1, 1, 0, 0, null))))
			.hasSize(1);
	}

}
