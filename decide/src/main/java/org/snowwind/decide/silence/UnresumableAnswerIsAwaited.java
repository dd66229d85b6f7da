package org.snowwind.decide.silence;

/**
 * Awaits an answer of which the caller has a part that no other server can continue.
 *
 * <p>
 * Severity: safety.
 */
public final class UnresumableAnswerIsAwaited implements SilenceRule {

	@Override
	public SilenceStep decide(SilentRequest request) {
		boolean begun = request.deliveredBytes() > 0;
		return (begun && !request.resumable()) ? SilenceStep.AWAIT : SilenceStep.NOT_APPLICABLE;
	}

}
