package org.snowwind.decide.stop;

/**
 * The moments of one stop, all known when it begins.
 *
 * <p>
 * Until whoever sends requests can know of the stop, all are taken: refusing them would
 * fail callers that had no way to go elsewhere. From then on a request is taken only if
 * it certainly ends before the stop does, because one that is cut off is lost, and one
 * that is refused at once runs elsewhere. The end never moves, so that the answer to "can
 * this still be finished?" is the same for all that ask.
 *
 * @param beganMillis when the process was told to stop, on its own clock
 * @param knownMillis from when on balancers, or whoever else sends requests, know of it
 * @param lastAnswersMillis when what is still open is answered as far as it can be
 * @param endMillis when what is open then is cut off
 */
public record StopSchedule(long beganMillis, long knownMillis, long lastAnswersMillis, long endMillis) {

	/**
	 * Plans a stop.
	 * @param nowMillis when the process was told to stop
	 * @param knownAfterMillis after how long those who send requests know of it, in
	 * milliseconds
	 * @param totalMillis how long the stop may last, without what closing down takes, in
	 * milliseconds
	 * @param answerMarginMillis how long before the end the last answers are given, in
	 * milliseconds, so that they are written on a busy machine too
	 * @return the moments
	 */
	public static StopSchedule of(long nowMillis, long knownAfterMillis, long totalMillis, long answerMarginMillis) {
		long endMillis = nowMillis + Math.max(0, totalMillis);
		long knownMillis = Math.min(endMillis, nowMillis + knownAfterMillis);
		return new StopSchedule(nowMillis, knownMillis, Math.max(nowMillis, endMillis - answerMarginMillis), endMillis);
	}

	/**
	 * Tells whether a request may be taken in. How long such requests usually take does
	 * not count: the one that takes longer would be cut off.
	 * @param nowMillis the time now
	 * @param deadlineMillis until when the request may last at most
	 * @return false if it must be refused
	 */
	public boolean takes(long nowMillis, long deadlineMillis) {
		return !known(nowMillis) || (!over(nowMillis) && deadlineMillis <= this.lastAnswersMillis);
	}

	/**
	 * Tells whether those who send requests know of the stop.
	 * @param nowMillis the time now
	 * @return true if they do
	 */
	public boolean known(long nowMillis) {
		return nowMillis >= this.knownMillis;
	}

	/**
	 * Tells whether the end has come.
	 * @param nowMillis the time now
	 * @return true if what still runs is cut off now
	 */
	public boolean over(long nowMillis) {
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
	 * Returns what is left of the stop.
	 * @param nowMillis the time now
	 * @return milliseconds until its end, 0 if that has passed
	 */
	public long leftMillis(long nowMillis) {
		return Math.max(0, this.endMillis - nowMillis);
	}

}
