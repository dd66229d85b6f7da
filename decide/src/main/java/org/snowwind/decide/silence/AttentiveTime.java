package org.snowwind.decide.silence;

/**
 * Measures the time in which this process was able to observe others. Confined to one
 * thread.
 *
 * <p>
 * The thread that reads what others send calls {@link #tick(long)} regularly. A pause
 * between two ticks counts at most as the longest step, however long the process did not
 * run. Until the first tick all time counts.
 */
public final class AttentiveTime {

	/** How often to call {@link #tick(long)}, in milliseconds. */
	public static final long TICK_MILLIS = 100;

	/** The usual longest step, in milliseconds. It allows for ticks that are late. */
	public static final long LONGEST_STEP_MILLIS = 2 * TICK_MILLIS;

	private final long longestStepMillis;

	private long sumMillis;

	private long countedUntilMillis;

	private boolean ticking;

	private long lastPauseEndMillis = Long.MIN_VALUE;

	/**
	 * Creates a measurement that starts at zero.
	 * @param startMillis the current time, in milliseconds
	 * @param longestStepMillis the most that the time between two ticks counts, in
	 * milliseconds
	 */
	public AttentiveTime(long startMillis, long longestStepMillis) {
		this.countedUntilMillis = startMillis;
		this.longestStepMillis = longestStepMillis;
	}

	/**
	 * Records that the process runs.
	 * @param nowMillis the current time, in milliseconds
	 */
	public void tick(long nowMillis) {
		if (isPaused(nowMillis)) {
			this.lastPauseEndMillis = nowMillis;
		}
		this.sumMillis = millis(nowMillis);
		this.countedUntilMillis = Math.max(this.countedUntilMillis, nowMillis);
		this.ticking = true;
	}

	private boolean isPaused(long nowMillis) {
		return this.ticking && nowMillis - this.countedUntilMillis > this.longestStepMillis;
	}

	/**
	 * Returns whether this process paused for more than the longest step.
	 * @param sinceMillis the start of the time in question, in milliseconds
	 * @param nowMillis the current time, in milliseconds
	 * @return true if a pause ended after the start or has not ended
	 */
	public boolean hasPausedSince(long sinceMillis, long nowMillis) {
		return this.lastPauseEndMillis > sinceMillis || isPaused(nowMillis);
	}

	/**
	 * Returns the time in which this process was able to observe others.
	 * @param nowMillis the current time, in milliseconds
	 * @return the sum since the start, in milliseconds; it never decreases as time passes
	 */
	public long millis(long nowMillis) {
		long elapsedMillis = Math.max(0, nowMillis - this.countedUntilMillis);
		return this.sumMillis + (this.ticking ? Math.min(elapsedMillis, this.longestStepMillis) : elapsedMillis);
	}

}
