package org.snowwind.decide.silence;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class UnrepeatableWorkIsAwaitedTests {

	private final SilenceRule rule = new UnrepeatableWorkIsAwaited();

	@Test
	void workThatMayRunOnceIsNotSentAgainForSilence() {
		assertThat(this.rule.decide(SilentRequests.repeatable(false))).isSameAs(SilenceStep.AWAIT);
	}

	@Test
	void doesNotApplyToRepeatableWork() {
		assertThat(this.rule.decide(SilentRequests.repeatable(true))).isSameAs(SilenceStep.NOT_APPLICABLE);
	}

}
