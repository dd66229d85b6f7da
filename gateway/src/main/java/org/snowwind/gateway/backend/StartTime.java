package org.snowwind.gateway.backend;

/**
 * Learns how long answers take to begin. Confined to the loop.
 */
final class StartTime {

	/** The part of a new answer in the means, as is usual for round trips. */
	private static final double SHARE = 0.125;

	/** How many mean deviations above the mean nearly all answers begin. */
	private static final double DEVIATIONS = 2;

	private double meanMillis;

	private double deviationMillis;

	/**
	 * Takes note that an answer has begun.
	 * @param tookMillis how long after it was sent, in milliseconds
	 */
	void began(long tookMillis) {
		if (this.meanMillis == 0) {
			this.meanMillis = tookMillis;
			this.deviationMillis = tookMillis / 2.0;
			return;
		}
		this.deviationMillis += SHARE * (Math.abs(tookMillis - this.meanMillis) - this.deviationMillis);
		this.meanMillis += SHARE * (tookMillis - this.meanMillis);
	}

	/**
	 * Returns within which time nearly all answers begin.
	 * @return the time, in milliseconds; 0 before any has begun
	 */
	long nearlyAllMillis() {
		return Math.round(this.meanMillis + DEVIATIONS * this.deviationMillis);
	}

}
