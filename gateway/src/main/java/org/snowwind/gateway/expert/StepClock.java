package org.snowwind.gateway.expert;

import java.util.List;

import org.snowwind.model.MonotonicClock;

/**
 * Predicts the current pass of a group from delayed reports.
 */
final class StepClock {

	/** The age of a report when it is received, in milliseconds. */
	static final long REPORT_LAG_MILLIS = 200;

	/** The duration of an order, in milliseconds. */
	private static final long ORDER_MILLIS = 10;

	/** The maximum age of a reported pass that is extrapolated, in milliseconds. */
	private static final long MOST_SINCE_MILLIS = 500;

	/** The assumed time of a pass before the first measurement, in milliseconds. */
	private static final double FIRST_PASS_MILLIS = 50;

	/** The minimum time of a pass, in milliseconds. */
	private static final double LEAST_PASS_MILLIS = 15;

	/** The safety margin of the prediction, in passes. */
	private static final int SPARE_PASSES = 1;

	/** The additional margin for each further attempt, in passes. */
	private static final int PASSES_PER_TRY = 2;

	/** The weight of a new measurement in the moving average. */
	private static final double SHARE = 0.4;

	private final MonotonicClock clock;

	private long step;

	private long seenMillis;

	private double passMillis = FIRST_PASS_MILLIS;

	/**
	 * Creates a clock without reports.
	 * @param clock the clock
	 */
	StepClock(MonotonicClock clock) {
		this.clock = clock;
	}

	/**
	 * Records reports.
	 * @param ranks ranks of the group
	 */
	void observe(List<Rank> ranks) {
		long seen = ranks.stream().mapToLong((rank) -> rank.report().step()).max().orElse(this.step);
		long nowMillis = this.clock.nowMillis();
		long passes = seen - this.step;
		if (passes <= 0) {
			return;
		}
		if (this.seenMillis != 0) {
			double measured = Math.max(LEAST_PASS_MILLIS, (double) (nowMillis - this.seenMillis) / passes);
			this.passMillis += SHARE * (Math.min(measured, 4 * this.passMillis) - this.passMillis);
		}
		this.step = seen;
		this.seenMillis = nowMillis;
	}

	/**
	 * Returns the last reported pass.
	 * @return the pass, 0 before the first report
	 */
	long step() {
		return this.step;
	}

	/**
	 * Returns a pass that has probably not begun.
	 * @param attempt the number of earlier predictions that were too low
	 * @return the pass
	 */
	long stepAhead(int attempt) {
		// A group whose pass has not changed for long is idle.
		long sinceMillis = Math.min(MOST_SINCE_MILLIS, this.clock.nowMillis() - this.seenMillis) + REPORT_LAG_MILLIS
				+ ORDER_MILLIS;
		long passes = (long) Math.ceil(sinceMillis / this.passMillis);
		return this.step + passes + SPARE_PASSES + (long) PASSES_PER_TRY * attempt;
	}

	/**
	 * Predicts when a pass begins.
	 * @param pass the pass
	 * @return the time until it begins, in milliseconds; 0 if it should have begun
	 */
	long millisUntil(long pass) {
		double atMillis = this.seenMillis - REPORT_LAG_MILLIS + (pass - this.step) * this.passMillis;
		return Math.max(0, Math.round(atMillis - this.clock.nowMillis()));
	}

	/**
	 * Returns the time of a pass.
	 * @return the mean, in milliseconds
	 */
	double passMillis() {
		return this.passMillis;
	}

	/**
	 * Resets the clock after the group was formed anew.
	 */
	void reset() {
		this.step = 0;
		this.seenMillis = 0;
		this.passMillis = FIRST_PASS_MILLIS;
	}

}
