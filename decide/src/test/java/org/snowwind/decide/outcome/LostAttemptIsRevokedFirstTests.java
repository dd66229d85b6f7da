package org.snowwind.decide.outcome;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class LostAttemptIsRevokedFirstTests {

	private final NextStepRule rule = new LostAttemptIsRevokedFirst();

	@Test
	void lostWorkIsRevoked() {
		assertThat(this.rule.decide(Situations.after(AttemptEnd.SENT_THEN_LOST, false))).isSameAs(NextStep.REVOKE);
		assertThat(this.rule.decide(Situations.spent(AttemptEnd.SENT_THEN_LOST, true, 0, null)))
			.isSameAs(NextStep.REVOKE);
	}

	@Test
	void repeatableWorkNeedsNoProof() {
		assertThat(this.rule.decide(Situations.after(AttemptEnd.SENT_THEN_LOST, true))).isSameAs(NextStep.SEND);
	}

	@Test
	void knownEndsAreNotItsBusiness() {
		assertThat(this.rule.decide(Situations.after(AttemptEnd.REFUSED, false))).isSameAs(NextStep.NO_OPINION);
	}

}
