package org.snowwind.gateway.backend;

/**
 * Learns how long the passes of a group take, from the pauses between events of our own
 * streams. Confined to the loop.
 *
 * <p>
 * All ranks of a group step together, and each pass gives every stream one event. What a
 * pass takes beyond that of an empty group grows with the requests of the whole group and
 * with the skew between its ranks, which a move of demand doubles from one pass to the
 * next.
 */
final class PassTime {

	/** The part of a new pause in the means. */
	private static final double PAUSE_SHARE = 0.04;

	/** Pauses beyond this many longest ones are stalls and say nothing of the load. */
	private static final double STALL = 3;

	/** After this time without an event the means say nothing, in milliseconds. */
	private static final long MEAN_LIFE_MILLIS = 2000;

	private double millis;

	private double perRequestMillis;

	private long observedMillis;

	/**
	 * Takes note of a pause between two events of a stream.
	 * @param pauseMillis the pause, in milliseconds
	 * @param pauseTargetMillis the longest pause on time, in milliseconds
	 * @param emptyMillis the time of a pass of an empty group, in milliseconds
	 * @param load how many requests the group has
	 * @param nowMillis the time, in milliseconds
	 */
	void observe(long pauseMillis, long pauseTargetMillis, double emptyMillis, int load, long nowMillis) {
		if (pauseMillis > STALL * pauseTargetMillis) {
			return;
		}
		double share = known(nowMillis) ? PAUSE_SHARE : 1;
		this.millis += share * (pauseMillis - this.millis);
		this.observedMillis = nowMillis;
		double perRequest = Math.max(0, this.millis - emptyMillis) / Math.max(1, load);
		this.perRequestMillis += share * (perRequest - this.perRequestMillis);
	}

	/**
	 * Tells whether anything was seen lately.
	 * @param nowMillis the time, in milliseconds
	 * @return false if the means say nothing
	 */
	boolean known(long nowMillis) {
		return this.millis > 0 && nowMillis - this.observedMillis <= MEAN_LIFE_MILLIS;
	}

	/**
	 * Returns the time of a pass.
	 * @return the mean, in milliseconds; 0 before any was seen
	 */
	double millis() {
		return this.millis;
	}

	/**
	 * Returns what one more request adds to a pass now.
	 * @return the mean, in milliseconds
	 */
	double perRequestMillis() {
		return this.perRequestMillis;
	}

}
