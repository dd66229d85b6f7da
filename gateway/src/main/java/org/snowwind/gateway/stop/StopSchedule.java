package org.snowwind.gateway.stop;

/**
 * The moments of one stop, all known when it begins.
 *
 * @param beganMillis when the gateway was told to stop, on its own clock
 * @param noticedMillis from when on the balancer must have noticed
 * @param endMillis when what is still open is cut off
 */
public record StopSchedule(long beganMillis, long noticedMillis, long endMillis) {

	/**
	 * The balancer notices within two questions, a second apart, that we stop; what it
	 * sends later than 3 s after the signal must be answered in full. A tenth of a second
	 * is for the way here. In milliseconds.
	 */
	private static final long LEAVE_ROTATION_MILLIS = 2900;

	/** What is kept of the grace for closing down, in milliseconds. */
	private static final long CLOSING_MILLIS = 700;

	/**
	 * A request that takes all of its time must be answered this much before the end, in
	 * milliseconds, so that its answer is written on a busy machine too; what is open
	 * then is answered as far as it can be.
	 */
	private static final long ANSWER_MARGIN_MILLIS = 100;

	/**
	 * Plans a stop.
	 * @param nowMillis when the gateway was told to stop
	 * @param graceMillis the time that it was given, in milliseconds
	 * @return the moments
	 */
	public static StopSchedule of(long nowMillis, long graceMillis) {
		long endMillis = nowMillis + Math.max(0, graceMillis - CLOSING_MILLIS);
		return new StopSchedule(nowMillis, Math.min(endMillis, nowMillis + LEAVE_ROTATION_MILLIS), endMillis);
	}

	/**
	 * Tells whether a request may be taken in. Until the balancer must have noticed, all
	 * are, since callers have no other choice; from then on only what certainly ends
	 * before the stop does. How long such requests usually take does not count: the one
	 * that takes longer would be cut off.
	 * @param nowMillis the time now
	 * @param deadlineMillis until when the request may last at most
	 * @return false if it must be refused
	 */
	public boolean takes(long nowMillis, long deadlineMillis) {
		return nowMillis < this.noticedMillis || deadlineMillis + ANSWER_MARGIN_MILLIS <= this.endMillis;
	}

	/**
	 * Returns when the last answers are given.
	 * @return a little before the end, so that they are written
	 */
	public long lastAnswersMillis() {
		return Math.max(this.beganMillis, this.endMillis - ANSWER_MARGIN_MILLIS);
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
