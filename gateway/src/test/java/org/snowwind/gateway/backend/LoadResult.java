package org.snowwind.gateway.backend;

/**
 * What callers got.
 */
final class LoadResult {

	/** The part of its worth that a late answer keeps. */
	private static final double LATE_WORTH = 0.25;

	private static final double REFUSED_TWICE_COST = 0.3;

	int onTime;

	int late;

	int refusedOnce;

	int refusedTwice;

	int sentToFull;

	int left;

	void served(boolean wasLate) {
		if (wasLate) {
			this.late++;
		}
		else {
			this.onTime++;
		}
	}

	int ended() {
		return this.onTime + this.late + this.refusedTwice;
	}

	double onTimeShare() {
		return (double) this.onTime / ended();
	}

	double worth() {
		return (this.onTime + LATE_WORTH * this.late - REFUSED_TWICE_COST * this.refusedTwice) / ended();
	}

	@Override
	public String toString() {
		return String.format("worth %.3f, on time %.3f, late %.3f, refused twice %.3f, once %.3f, sent to full %d",
				worth(), onTimeShare(), (double) this.late / ended(), (double) this.refusedTwice / ended(),
				(double) this.refusedOnce / ended(), this.sentToFull);
	}

}
