package org.snowwind.decide.outcome;

/**
 * Decides whether an attempt whose server sends nothing is given up.
 *
 * <p>
 * Such a server may still answer. Its attempt is given up only if that does not end the
 * request.
 */
public final class SilentAttempt {

	private SilentAttempt() {
	}

	/**
	 * Returns whether the attempt may be given up now.
	 * @param afterBreak the state of the request as if the attempt had ended now
	 * @param otherServerIsHealthy whether the next attempt would go to another server,
	 * and to one that looks healthy
	 * @return true if another server takes over, or if the answer is whole already
	 */
	public static boolean isReplaceable(RetryContext afterBreak, boolean otherServerIsHealthy) {
		if (afterBreak.end() == AttemptEnd.ANSWERED) {
			return true;
		}
		NextStep step = NextStepRules.decide(afterBreak);
		return otherServerIsHealthy && (step.equals(NextStep.SEND) || step.equals(NextStep.RESUME));
	}

}
