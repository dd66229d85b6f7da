package org.snowwind.gateway.backend;

/**
 * The outcomes of the calls of a simulation.
 */
final class LoadResult {

	/** The utility of a late answer; an answer on time has 1. */
	private static final double LATE_UTILITY = 0.25;

	private static final double REJECTED_TWICE_COST = 0.3;

	int onTime;

	int late;

	int rejectedOnce;

	int rejectedTwice;

	int sentToFull;

	int callersLeft;

	/** Streams that an outage interrupted. They are not counted as ended. */
	int broken;

	/** Callers that were rejected twice because the group was closed both times. */
	int foundClosedTwice;

	/**
	 * The longest time that an attempt was held that was rejected without being sent, and
	 * that arrived when the group was known to be closed.
	 */
	long maxHeldWhileClosedMillis;

	private long heldMillis;

	void served(boolean wasLate) {
		if (wasLate) {
			this.late++;
		}
		else {
			this.onTime++;
		}
	}

	void rejected(boolean rejectedBefore, long waitedMillis) {
		if (rejectedBefore) {
			this.rejectedTwice++;
		}
		else {
			this.rejectedOnce++;
		}
		this.heldMillis += waitedMillis;
	}

	double meanHeldMillis() {
		return (double) this.heldMillis / Math.max(1, this.rejectedOnce + this.rejectedTwice);
	}

	int ended() {
		return this.onTime + this.late + this.rejectedTwice;
	}

	double onTimeShare() {
		return (double) this.onTime / ended();
	}

	double meanUtility() {
		return (this.onTime + LATE_UTILITY * this.late - REJECTED_TWICE_COST * this.rejectedTwice) / ended();
	}

	@Override
	public String toString() {
		return String.format(
				"utility %.3f, on time %.3f, late %.3f, rejected twice %.3f, once %.3f, sent to full %d, held %.0f ms",
				meanUtility(), onTimeShare(), (double) this.late / ended(), (double) this.rejectedTwice / ended(),
				(double) this.rejectedOnce / ended(), this.sentToFull, meanHeldMillis());
	}

}
