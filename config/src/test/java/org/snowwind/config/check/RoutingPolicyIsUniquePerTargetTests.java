package org.snowwind.config.check;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RoutingPolicyIsUniquePerTargetTests {

	private final ResourceCheck check = new RoutingPolicyIsUniquePerTarget();

	@Test
	void accepted() {
		assertThat(CheckFixture.check(this.check, CheckFixture.policy("q", "desk"), CheckFixture.policy("p", "chat")))
			.isEmpty();
	}

	@Test
	void found() {
		assertThat(CheckFixture.check(this.check, CheckFixture.policy("q", "desk"), CheckFixture.policy("p", "desk")))
			.hasSize(1);
	}

}
