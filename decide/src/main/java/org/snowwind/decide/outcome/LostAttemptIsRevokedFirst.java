package org.snowwind.decide.outcome;

/**
 * Revokes an attempt that was sent and whose outcome is unknown before the caller is told
 * anything or the work is sent again. Repeatable work that can still be retried is sent
 * again without this, since it may run more than once.
 *
 * <p>
 * Severity: safety.
 */
public final class LostAttemptIsRevokedFirst implements NextStepRule {

	@Override
	public NextStep decide(RetryContext context) {
		if (context.end() != AttemptEnd.SENT_THEN_LOST) {
			return NextStep.NOT_APPLICABLE;
		}
		boolean retryWithoutRevoking = context.repeatable() && context.anotherAttemptAffordable();
		return retryWithoutRevoking ? NextStep.SEND : NextStep.REVOKE;
	}

}
