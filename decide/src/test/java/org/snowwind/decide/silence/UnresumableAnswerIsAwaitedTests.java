package org.snowwind.decide.silence;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class UnresumableAnswerIsAwaitedTests {

	private final SilenceRule rule = new UnresumableAnswerIsAwaited();

	@Test
	void deliveredEventsAreNotRepeatedByAReplacement() {
		assertThat(this.rule.decide(SilentRequests.delivered(100, false))).isSameAs(SilenceStep.AWAIT);
	}

	@Test
	void doesNotApplyBeforeTheFirstEvent() {
		assertThat(this.rule.decide(SilentRequests.delivered(0, false))).isSameAs(SilenceStep.NOT_APPLICABLE);
	}

	@Test
	void doesNotApplyToAStreamThatCanBeContinued() {
		assertThat(this.rule.decide(SilentRequests.delivered(100, true))).isSameAs(SilenceStep.NOT_APPLICABLE);
	}

}
