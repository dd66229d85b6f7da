package org.snowwind.decide.silence;

/**
 * State of a request one of whose attempts has been silent for longer than its limit, on
 * which it depends whether a replacement is sent beside it.
 *
 * @param otherAttemptHeard whether another open attempt of the request is not silent
 * @param repeatable whether the work may run more than once
 * @param resumable whether another server can continue exactly after what the caller has
 * @param deliveredBytes how many bytes of the answer have been sent to the caller
 * @param attemptsUsed how many attempts may have run the work, including the open ones
 * @param maxAttempts how many attempts are allowed
 * @param remainingMillis time left until the request's deadline, in milliseconds
 * @param sendLeft whether the number of sends allows another one
 * @param retryBudgetLeft whether the retry budget allows another attempt
 */
public record SilentRequest(boolean otherAttemptHeard, boolean repeatable, boolean resumable, long deliveredBytes,
		int attemptsUsed, int maxAttempts, long remainingMillis, boolean sendLeft, boolean retryBudgetLeft) {

}
