package org.snowwind.decide.silence;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class HeardAttemptIsAwaitedTests {

	private final SilenceRule rule = new HeardAttemptIsAwaited();

	@Test
	void secondReplacementIsNotSentBesideOneThatIsHeard() {
		assertThat(this.rule.decide(SilentRequests.beside(true))).isSameAs(SilenceStep.AWAIT);
	}

	@Test
	void doesNotApplyIfAllAttemptsAreSilent() {
		assertThat(this.rule.decide(SilentRequests.beside(false))).isSameAs(SilenceStep.NOT_APPLICABLE);
	}

}
