package org.snowwind.decide.silence;

/**
 * The decision about a silent attempt.
 *
 * @param step what is done
 * @param reason the simple name of the rule that decided, or why no replacement could be
 * sent
 */
public record SilenceDecision(SilenceStep step, String reason) {

	/**
	 * Returns whether a replacement is sent.
	 * @return false if the attempt is awaited
	 */
	public boolean replaces() {
		return this.step == SilenceStep.REPLACE;
	}

	/**
	 * Returns the decision to await the attempt, although the rules allow a replacement.
	 * @param reason why no replacement is sent
	 * @return the decision
	 */
	public static SilenceDecision awaitFor(String reason) {
		return new SilenceDecision(SilenceStep.AWAIT, reason);
	}

}
