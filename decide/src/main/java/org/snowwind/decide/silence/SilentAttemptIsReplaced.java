package org.snowwind.decide.silence;

/**
 * Sends a replacement beside the silent attempt if no other rule applies.
 *
 * <p>
 * Severity: policy.
 */
public final class SilentAttemptIsReplaced implements SilenceRule {

	@Override
	public SilenceStep decide(SilentRequest request) {
		return SilenceStep.REPLACE;
	}

}
