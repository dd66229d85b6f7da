package org.snowwind.decide.stop;

/**
 * Times of one graceful stop, all fixed when the stop begins.
 *
 * <p>
 * Until the senders of requests can know of the stop, every request is accepted, because
 * rejecting it would fail callers that could not have chosen another process. After that,
 * a request is accepted only if its deadline is not later than the final answers: a
 * request that is cut off is lost, while one that is rejected at once runs elsewhere. The
 * end never changes, so that every part of the process decides alike whether a request
 * can still finish.
 *
 * @param beganMillis when the process was told to stop, by its own clock
 * @param knownToSendersMillis from when on balancers and other senders of requests know
 * of the stop
 * @param finalAnswersMillis when the requests that are still open get their final answers
 * @param endMillis when the requests that are still open are cut off
 */
public record StopSchedule(long beganMillis, long knownToSendersMillis, long finalAnswersMillis, long endMillis) {

	/**
	 * Creates the schedule of a stop.
	 * @param nowMillis when the process was told to stop
	 * @param knownAfterMillis how long it takes until the senders of requests know of the
	 * stop, in milliseconds
	 * @param totalMillis how long the stop may last, excluding the time that closing down
	 * takes, in milliseconds
	 * @param answerMarginMillis how long before the end the final answers are given, in
	 * milliseconds, so that they are written in time on a busy machine too
	 * @return the schedule
	 */
	public static StopSchedule of(long nowMillis, long knownAfterMillis, long totalMillis, long answerMarginMillis) {
		long endMillis = nowMillis + Math.max(0, totalMillis);
		long knownMillis = Math.min(endMillis, nowMillis + knownAfterMillis);
		return new StopSchedule(nowMillis, knownMillis, Math.max(nowMillis, endMillis - answerMarginMillis), endMillis);
	}

	/**
	 * Returns whether a request may be accepted. Only the deadline counts, not the usual
	 * duration, because a request that takes longer than usual would be cut off.
	 * @param nowMillis the time now
	 * @param deadlineMillis the deadline of the request
	 * @return false if the request must be rejected
	 */
	public boolean accepts(long nowMillis, long deadlineMillis) {
		return !knownToSenders(nowMillis) || (!ended(nowMillis) && deadlineMillis <= this.finalAnswersMillis);
	}

	/**
	 * Returns whether the senders of requests know of the stop.
	 * @param nowMillis the time now
	 * @return true if they do
	 */
	public boolean knownToSenders(long nowMillis) {
		return nowMillis >= this.knownToSendersMillis;
	}

	/**
	 * Returns whether the stop has ended.
	 * @param nowMillis the time now
	 * @return true if requests that are still running are cut off now
	 */
	public boolean ended(long nowMillis) {
		return nowMillis >= this.endMillis;
	}

	/**
	 * Returns how long the stop has lasted.
	 * @param nowMillis the time now
	 * @return milliseconds since it began
	 */
	public long elapsedMillis(long nowMillis) {
		return nowMillis - this.beganMillis;
	}

	/**
	 * Returns the time left until the end of the stop.
	 * @param nowMillis the time now
	 * @return milliseconds until the end, 0 if it has passed
	 */
	public long remainingMillis(long nowMillis) {
		return Math.max(0, this.endMillis - nowMillis);
	}

}
