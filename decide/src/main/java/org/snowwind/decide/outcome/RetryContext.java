package org.snowwind.decide.outcome;

import org.snowwind.model.outcome.ProblemKind;

/**
 * State of a request after an attempt has ended, on which the next step depends.
 *
 * @param end how the last attempt ended
 * @param repeatable whether the work may run more than once
 * @param resumable whether the back end can continue an answer at an offset
 * @param bytesDelivered how many bytes of the answer have been sent to the caller
 * @param attemptsUsed how many attempts were made, including the last one
 * @param maxAttempts how many attempts are allowed
 * @param remainingMillis time left in the request's budget, in milliseconds
 * @param retryBudgetLeft whether the organisation's retry budget allows another attempt
 * @param serverLeft whether another server can be tried
 * @param earlierAttemptMayHaveRun whether an earlier attempt may have run the work
 * @param rejection why the last attempt was rejected; {@code null} if it was not
 */
public record RetryContext(AttemptEnd end, boolean repeatable, boolean resumable, long bytesDelivered, int attemptsUsed,
		int maxAttempts, long remainingMillis, boolean retryBudgetLeft, boolean serverLeft,
		boolean earlierAttemptMayHaveRun, ProblemKind rejection) {

	/**
	 * Returns whether any attempt may have run the work. What a caller is told covers all
	 * attempts, not only the last one.
	 * @return false if it is proved for every attempt that the work did not run
	 */
	public boolean mayHaveRun() {
		return this.earlierAttemptMayHaveRun || !this.end.provesNotRun();
	}

	/**
	 * Returns whether time is left for another attempt.
	 * @return true if the budget is not used up
	 */
	public boolean hasTimeLeft() {
		return this.remainingMillis > 0;
	}

	/**
	 * Returns whether the request can afford another attempt.
	 * @return true if attempts, time, retry budget and servers allow one
	 */
	public boolean anotherAttemptAffordable() {
		return this.attemptsUsed < this.maxAttempts && hasTimeLeft() && this.retryBudgetLeft && this.serverLeft;
	}

}
