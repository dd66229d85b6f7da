package org.snowwind.decide.silence;

/**
 * Measures for how long a server that has work has sent nothing. Times are those during
 * which this process could observe others, so that its own pauses do not count.
 */
public final class ServerSilence {

	private static final long NEVER = Long.MIN_VALUE;

	/** When the server last sent something, in milliseconds. */
	private long heardMillis = NEVER;

	/** When the present work began at the idle server, in milliseconds. */
	private long busySinceMillis = NEVER;

	/**
	 * Records that work was sent to the server while it had none.
	 * @param attentiveMillis the time, in milliseconds
	 */
	public void onBusy(long attentiveMillis) {
		this.busySinceMillis = attentiveMillis;
	}

	/**
	 * Records that the server sent something.
	 * @param attentiveMillis the time, in milliseconds
	 */
	public void onHeard(long attentiveMillis) {
		this.heardMillis = attentiveMillis;
	}

	/**
	 * Returns whether a server that has work has sent nothing for longer than a limit.
	 * @param attentiveMillis the time, in milliseconds
	 * @param limitMillis the limit, in milliseconds
	 * @return false if no work was recorded
	 */
	public boolean exceeds(long attentiveMillis, long limitMillis) {
		long sinceMillis = Math.max(this.heardMillis, this.busySinceMillis);
		return sinceMillis != NEVER && attentiveMillis - sinceMillis > limitMillis;
	}

	/**
	 * Returns whether the server was heard of within a time.
	 * @param attentiveMillis the time, in milliseconds
	 * @param withinMillis the longest time that may have passed, in milliseconds
	 * @return false if nothing was ever received from it
	 */
	public boolean wasHeard(long attentiveMillis, long withinMillis) {
		return this.heardMillis != NEVER && attentiveMillis - this.heardMillis <= withinMillis;
	}

}
