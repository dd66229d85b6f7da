package org.snowwind.decide.silence;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class UnaffordableReplacementIsNotSentTests {

	private final SilenceRule rule = new UnaffordableReplacementIsNotSent();

	@Test
	void attemptIsAwaitedIfNoAttemptIsLeft() {
		assertThat(this.rule.decide(SilentRequests.left(0, 1000, true, true))).isSameAs(SilenceStep.AWAIT);
	}

	@Test
	void attemptIsAwaitedIfNoTimeIsLeft() {
		assertThat(this.rule.decide(SilentRequests.left(1, 0, true, true))).isSameAs(SilenceStep.AWAIT);
	}

	@Test
	void attemptIsAwaitedIfNoSendIsLeft() {
		assertThat(this.rule.decide(SilentRequests.left(1, 1000, false, true))).isSameAs(SilenceStep.AWAIT);
	}

	@Test
	void attemptIsAwaitedIfTheRetryBudgetIsSpent() {
		assertThat(this.rule.decide(SilentRequests.left(1, 1000, true, false))).isSameAs(SilenceStep.AWAIT);
	}

	@Test
	void doesNotApplyWhileAReplacementIsAffordable() {
		assertThat(this.rule.decide(SilentRequests.REPLACEABLE)).isSameAs(SilenceStep.NOT_APPLICABLE);
	}

}
