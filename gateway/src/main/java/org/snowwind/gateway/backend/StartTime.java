package org.snowwind.gateway.backend;

/**
 * Estimates how long answers take to begin. Confined to the event loop.
 */
final class StartTime {

	/**
	 * The weight of a new answer in the moving averages, the usual value for round-trip
	 * times.
	 */
	private static final double WEIGHT = 0.125;

	/** The upper bound for nearly all answers, in mean deviations above the mean. */
	private static final double DEVIATIONS = 2;

	private double meanMillis;

	private double deviationMillis;

	/**
	 * Records that an answer has begun.
	 * @param tookMillis how long after the request was sent, in milliseconds
	 */
	void observe(long tookMillis) {
		if (this.meanMillis == 0) {
			this.meanMillis = tookMillis;
			this.deviationMillis = tookMillis / 2.0;
			return;
		}
		this.deviationMillis += WEIGHT * (Math.abs(tookMillis - this.meanMillis) - this.deviationMillis);
		this.meanMillis += WEIGHT * (tookMillis - this.meanMillis);
	}

	/**
	 * Returns the time within which nearly all answers begin.
	 * @return the time, in milliseconds; 0 before the first answer
	 */
	long upperBoundMillis() {
		return Math.round(this.meanMillis + DEVIATIONS * this.deviationMillis);
	}

}
