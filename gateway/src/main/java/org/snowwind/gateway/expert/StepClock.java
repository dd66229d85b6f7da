package org.snowwind.gateway.expert;

import java.util.List;

import org.snowwind.model.MonotonicClock;

/**
 * Predicts which pass a group is at from reports that are late.
 */
final class StepClock {

	/** How old a report is, in milliseconds; the platform's word. */
	static final long REPORT_LAG_MILLIS = 200;

	/** How long it takes to hold a pass, in milliseconds. */
	private static final long ORDER_MILLIS = 10;

	/** Beyond this age a step that was seen is not extrapolated, in milliseconds. */
	private static final long MOST_SINCE_MILLIS = 500;

	/** The time of a pass before any was measured, in milliseconds. */
	private static final double FIRST_PASS_MILLIS = 50;

	/** The shortest pass that is believed, in milliseconds. */
	private static final double LEAST_PASS_MILLIS = 15;

	/** How many passes are added to the prediction, since it may be off. */
	private static final int SPARE_PASSES = 1;

	/** How many more passes with each further try. */
	private static final int PASSES_PER_TRY = 2;

	/** The part of a new measurement in the mean. */
	private static final double SHARE = 0.4;

	private final MonotonicClock clock;

	private long step;

	private long seenMillis;

	private double passMillis = FIRST_PASS_MILLIS;

	/**
	 * Creates a clock that has seen no report.
	 * @param clock tells the time
	 */
	StepClock(MonotonicClock clock) {
		this.clock = clock;
	}

	/**
	 * Takes note of reports.
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
	 * Returns the last pass that was seen.
	 * @return the pass, 0 before any
	 */
	long step() {
		return this.step;
	}

	/**
	 * Returns a pass that has surely not begun.
	 * @param attempt how many passes before it had begun all the same
	 * @return the pass
	 */
	long stepAhead(int attempt) {
		// A group whose step has not changed for long has no work and makes no passes.
		long sinceMillis = Math.min(MOST_SINCE_MILLIS, this.clock.nowMillis() - this.seenMillis) + REPORT_LAG_MILLIS
				+ ORDER_MILLIS;
		long passes = (long) Math.ceil(sinceMillis / this.passMillis);
		return this.step + passes + SPARE_PASSES + (long) PASSES_PER_TRY * attempt;
	}

	/**
	 * Predicts when a pass begins.
	 * @param pass the pass
	 * @return in how long, in milliseconds; 0 if it should have begun
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
	 * Begins anew, since the group was formed anew.
	 */
	void reset() {
		this.step = 0;
		this.seenMillis = 0;
		this.passMillis = FIRST_PASS_MILLIS;
	}

}
