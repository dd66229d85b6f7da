package org.snowwind.decide.outcome;

/**
 * An attempt that was sent and lost is revoked before anything is said or done about it.
 *
 * <p>
 * Severity: safety.
 */
public final class LostAttemptIsRevokedFirst implements NextStepRule {

	@Override
	public NextStep decide(Situation situation) {
		if (situation.end() != AttemptEnd.SENT_THEN_LOST) {
			return NextStep.NO_OPINION;
		}
		boolean retryNeedsNoProof = situation.repeatable() && situation.anotherAttemptAffordable();
		return retryNeedsNoProof ? NextStep.SEND : NextStep.REVOKE;
	}

}
