package org.snowwind.decide.silence;

/**
 * Awaits an attempt that is not silent, so that at most one attempt more than the silent
 * ones runs.
 *
 * <p>
 * Severity: policy.
 */
public final class HeardAttemptIsAwaited implements SilenceRule {

	@Override
	public SilenceStep decide(SilentRequest request) {
		return request.otherAttemptHeard() ? SilenceStep.AWAIT : SilenceStep.NOT_APPLICABLE;
	}

}
