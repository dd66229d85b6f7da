package org.snowwind.decide.silence;

/**
 * Awaits the attempt if no attempt, send, retry or time is left for a replacement.
 *
 * <p>
 * Severity: policy.
 */
public final class UnaffordableReplacementIsNotSent implements SilenceRule {

	@Override
	public SilenceStep decide(SilentRequest request) {
		boolean affordable = request.attemptsUsed() < request.maxAttempts() && request.sendLeft()
				&& request.retryBudgetLeft() && request.remainingMillis() > 0;
		return affordable ? SilenceStep.NOT_APPLICABLE : SilenceStep.AWAIT;
	}

}
