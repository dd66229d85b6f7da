package org.snowwind.config.check;

import org.junit.jupiter.api.Test;
import org.snowwind.model.resource.ResourceKind;
import org.snowwind.model.resource.RoutingPolicySpec;

import static org.assertj.core.api.Assertions.assertThat;

class RoutingPolicyLimitsAreInRangeTests {

	private final ResourceCheck check = new RoutingPolicyLimitsAreInRange();

	@Test
	void accepted() {
		assertThat(CheckFixture.check(this.check, CheckFixture.policy("p", "desk"))).isEmpty();
		assertThat(CheckFixture.check(this.check, CheckFixture.resource(ResourceKind.ROUTING_POLICY, "p",
				new RoutingPolicySpec("desk", 5000, 2, null, null, 1, 1))))
			.isEmpty();
	}

	@Test
	void found() {
		assertThat(CheckFixture.check(this.check, CheckFixture.resource(ResourceKind.ROUTING_POLICY, "p",
				new RoutingPolicySpec("desk", -1, 2, null, null, 1, 1))))
			.hasSize(1);
		assertThat(CheckFixture.check(this.check, CheckFixture.resource(ResourceKind.ROUTING_POLICY, "p",
				new RoutingPolicySpec("desk", 5000, 50, null, null, 1, 1))))
			.hasSize(1);
	}

}
