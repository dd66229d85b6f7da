package org.snowwind.decide.silence;

/**
 * Rule that decides about the silent attempts to which it applies.
 */
@FunctionalInterface
public interface SilenceRule {

	/**
	 * Decides what is done if this rule applies.
	 * @param request the request whose attempt is silent
	 * @return the step, or {@link SilenceStep#NOT_APPLICABLE}
	 */
	SilenceStep decide(SilentRequest request);

}
