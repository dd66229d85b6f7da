package org.snowwind.gateway.backend;

/**
 * Estimates how long the passes of a group take from the pauses between the events of
 * this process's own streams. Confined to the event loop.
 *
 * <p>
 * All ranks of a group step together, and each pass produces one event for every stream.
 * The time of a pass in excess of that of an empty group grows with the requests of the
 * whole group and with the skew between its ranks, which a shift of demand between
 * experts doubles from one pass to the next.
 */
final class PassTime {

	/** The weight of a new pause in the moving averages. */
	private static final double MEAN_WEIGHT = 0.04;

	/**
	 * Pauses above this multiple of the maximum pause that is on time are stalls. They do
	 * not depend on the load and are ignored.
	 */
	private static final double STALL_FACTOR = 3;

	/** The time without an event after which the averages are stale, in milliseconds. */
	private static final long MAX_AGE_MILLIS = 2000;

	/**
	 * The weight of a new pause in the fast average. With several streams it follows a
	 * jump mostly within one pass.
	 */
	private static final double FAST_WEIGHT = 0.2;

	/** The weight of a new pause in the slow average, the baseline for jumps. */
	private static final double SLOW_WEIGHT = 0.01;

	/**
	 * The ratio of the fast to the slow average above which the time of passes has
	 * jumped. A shift of demand between experts doubles the time per request. Prompts
	 * that are read at the same time increase it by a quarter.
	 */
	private static final double JUMP_RATIO = 1.5;

	/**
	 * The ratio below which passes have settled, so that another jump can be detected.
	 */
	private static final double SETTLED_RATIO = 1.2;

	private double millis;

	private double perRequestMillis;

	private double fastPerRequestMillis;

	private double slowPerRequestMillis;

	private long observedMillis;

	private boolean settled = true;

	private long lastJumpMillis = Long.MIN_VALUE;

	/**
	 * Records a pause between two events of a stream.
	 * @param pauseMillis the pause, in milliseconds
	 * @param pauseTargetMillis the maximum pause that is on time, in milliseconds
	 * @param emptyMillis the time of a pass of an empty group, in milliseconds
	 * @param load the number of requests of the group
	 * @param nowMillis the time, in milliseconds
	 * @return whether passes suddenly became much longer
	 */
	boolean observe(long pauseMillis, long pauseTargetMillis, double emptyMillis, int load, long nowMillis) {
		if (pauseMillis > STALL_FACTOR * pauseTargetMillis) {
			return false;
		}
		double weight = isCurrent(nowMillis) ? MEAN_WEIGHT : 1;
		this.millis += weight * (pauseMillis - this.millis);
		this.observedMillis = nowMillis;
		double perRequest = Math.max(0, this.millis - emptyMillis) / Math.max(1, load);
		this.perRequestMillis += weight * (perRequest - this.perRequestMillis);
		return detectJump(Math.max(0, pauseMillis - emptyMillis) / Math.max(1, load), weight == 1, nowMillis);
	}

	private boolean detectJump(double perRequest, boolean first, long nowMillis) {
		this.fastPerRequestMillis += (first ? 1 : FAST_WEIGHT) * (perRequest - this.fastPerRequestMillis);
		this.slowPerRequestMillis += (first ? 1 : SLOW_WEIGHT) * (perRequest - this.slowPerRequestMillis);
		if (this.settled && this.fastPerRequestMillis > JUMP_RATIO * this.slowPerRequestMillis) {
			this.settled = false;
			this.lastJumpMillis = nowMillis;
			return true;
		}
		if (this.fastPerRequestMillis < SETTLED_RATIO * this.slowPerRequestMillis) {
			this.settled = true;
		}
		return false;
	}

	/**
	 * Returns when passes last became suddenly much longer, which happens when the demand
	 * for experts shifts.
	 * @return the time, in milliseconds; {@link Long#MIN_VALUE} if they never have
	 */
	long lastJumpMillis() {
		return this.lastJumpMillis;
	}

	/**
	 * Returns whether there are recent observations.
	 * @param nowMillis the time, in milliseconds
	 * @return false if there are none or the averages are stale
	 */
	boolean isCurrent(long nowMillis) {
		return this.millis > 0 && nowMillis - this.observedMillis <= MAX_AGE_MILLIS;
	}

	/**
	 * Returns the mean time of a pass.
	 * @return the mean, in milliseconds; 0 before the first observation
	 */
	double millis() {
		return this.millis;
	}

	/**
	 * Returns the time that one more request adds to a pass.
	 * @return the mean, in milliseconds
	 */
	double perRequestMillis() {
		return this.perRequestMillis;
	}

}
