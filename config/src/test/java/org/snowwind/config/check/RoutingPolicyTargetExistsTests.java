package org.snowwind.config.check;

import org.junit.jupiter.api.Test;
import org.snowwind.model.resource.ResourceKind;
import org.snowwind.model.resource.ServiceSpec;

import static org.assertj.core.api.Assertions.assertThat;

class RoutingPolicyTargetExistsTests {

	private final ResourceCheck check = new RoutingPolicyTargetExists();

	@Test
	void accepted() {
		assertThat(CheckFixture.check(this.check, CheckFixture.policy("p", "desk"),
				CheckFixture.resource(ResourceKind.SERVICE, "desk", new ServiceSpec(null))))
			.isEmpty();
	}

	@Test
	void found() {
		assertThat(CheckFixture.check(this.check, CheckFixture.policy("p", "desc"),
				CheckFixture.resource(ResourceKind.SERVICE, "desk", new ServiceSpec(null))))
			.hasSize(1);
	}

}
