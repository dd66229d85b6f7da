package org.snowwind.decide.outcome;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class LostAttemptIsRevokedFirstTests {

	private final NextStepRule rule = new LostAttemptIsRevokedFirst();

	@Test
	void lostAttemptIsRevoked() {
		assertThat(this.rule.decide(RetryContexts.after(AttemptEnd.SENT_THEN_LOST, false))).isSameAs(NextStep.REVOKE);
		assertThat(this.rule.decide(RetryContexts.spent(AttemptEnd.SENT_THEN_LOST, true, 0, null)))
			.isSameAs(NextStep.REVOKE);
	}

	@Test
	void repeatableWorkIsRetriedWithoutRevoking() {
		assertThat(this.rule.decide(RetryContexts.after(AttemptEnd.SENT_THEN_LOST, true))).isSameAs(NextStep.SEND);
	}

	@Test
	void doesNotApplyToAttemptsWithAKnownEnd() {
		assertThat(this.rule.decide(RetryContexts.after(AttemptEnd.REFUSED, false))).isSameAs(NextStep.NOT_APPLICABLE);
	}

}
