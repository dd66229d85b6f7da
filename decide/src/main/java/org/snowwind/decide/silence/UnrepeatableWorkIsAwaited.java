package org.snowwind.decide.silence;

/**
 * Awaits work that must not run twice.
 *
 * <p>
 * Severity: safety.
 */
public final class UnrepeatableWorkIsAwaited implements SilenceRule {

	@Override
	public SilenceStep decide(SilentRequest request) {
		return request.repeatable() ? SilenceStep.NOT_APPLICABLE : SilenceStep.AWAIT;
	}

}
