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

	/** The part of a new pause in the mean that shows a jump: most of it in one pass. */
	private static final double QUICK_SHARE = 0.2;

	/** The part of a new pause in the mean that a jump is seen against. */
	private static final double SLOW_SHARE = 0.01;

	/**
	 * Passes have jumped when requests cost so much more than they did: a move of demand
	 * doubles the cost, prompts that are read at once raise it by a quarter.
	 */
	private static final double JUMP = 1.5;

	/** Passes that have jumped can do so again when they cost no more than this. */
	private static final double SETTLED = 1.2;

	private double millis;

	private double perRequestMillis;

	private double quickMillis;

	private double slowMillis;

	private long observedMillis;

	private boolean settled = true;

	private long jumpedMillis = Long.MIN_VALUE;

	/**
	 * Takes note of a pause between two events of a stream.
	 * @param pauseMillis the pause, in milliseconds
	 * @param pauseTargetMillis the longest pause on time, in milliseconds
	 * @param emptyMillis the time of a pass of an empty group, in milliseconds
	 * @param load how many requests the group has
	 * @param nowMillis the time, in milliseconds
	 * @return whether passes have become much longer at once
	 */
	boolean observe(long pauseMillis, long pauseTargetMillis, double emptyMillis, int load, long nowMillis) {
		if (pauseMillis > STALL * pauseTargetMillis) {
			return false;
		}
		double share = known(nowMillis) ? PAUSE_SHARE : 1;
		this.millis += share * (pauseMillis - this.millis);
		this.observedMillis = nowMillis;
		double perRequest = Math.max(0, this.millis - emptyMillis) / Math.max(1, load);
		this.perRequestMillis += share * (perRequest - this.perRequestMillis);
		return noteJump(Math.max(0, pauseMillis - emptyMillis) / Math.max(1, load), share == 1, nowMillis);
	}

	private boolean noteJump(double perRequest, boolean first, long nowMillis) {
		this.quickMillis += (first ? 1 : QUICK_SHARE) * (perRequest - this.quickMillis);
		this.slowMillis += (first ? 1 : SLOW_SHARE) * (perRequest - this.slowMillis);
		if (this.settled && this.quickMillis > JUMP * this.slowMillis) {
			this.settled = false;
			this.jumpedMillis = nowMillis;
			return true;
		}
		if (this.quickMillis < SETTLED * this.slowMillis) {
			this.settled = true;
		}
		return false;
	}

	/**
	 * Tells when passes have last become much longer at once, as they do when demand for
	 * experts moves.
	 * @return the time, in milliseconds; {@link Long#MIN_VALUE} if they never have
	 */
	long jumpedMillis() {
		return this.jumpedMillis;
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
