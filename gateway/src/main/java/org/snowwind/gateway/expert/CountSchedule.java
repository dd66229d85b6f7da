package org.snowwind.gateway.expert;

/**
 * Decides when the counts of a group's ranks are read. Confined to one thread.
 *
 * <p>
 * The group pauses half a millisecond for each 400 numbers that are read. A shift of
 * demand makes the pass time jump, so counts are read at long intervals, and at short
 * ones after a jump.
 */
final class CountSchedule {

	/** The interval between reads of a rank, in milliseconds. */
	private static final long PERIOD_MILLIS = 500;

	/** The interval between reads after a jump, in milliseconds. */
	private static final long ALARMED_PERIOD_MILLIS = 120;

	/**
	 * The number of reads at the short interval. The first one spans the shift, the
	 * others follow it.
	 */
	private static final int ALARMED_READS = 3;

	/**
	 * The time for which a read by another group replaces one by this group, in
	 * milliseconds. It is longer than the interval, so that only one of them reads.
	 */
	private static final long OTHERS_MILLIS = 700;

	private long nextMillis = Long.MIN_VALUE;

	private long answeredJumpMillis = Long.MIN_VALUE;

	private int alarmedReads;

	/**
	 * Decides whether to read now. The caller must read if the result is true.
	 * @param nowMillis the time, in milliseconds
	 * @param jumpedMillis when the pass time last jumped, in milliseconds;
	 * {@link Long#MIN_VALUE} if it never has
	 * @param othersMillis when another group of the service last read, in milliseconds;
	 * {@link Long#MIN_VALUE} if none has since this one
	 * @param ranks the number of ranks that are read in turn
	 * @return whether to read
	 */
	boolean due(long nowMillis, long jumpedMillis, long othersMillis, int ranks) {
		if (jumpedMillis > this.answeredJumpMillis) {
			this.answeredJumpMillis = jumpedMillis;
			this.alarmedReads = ALARMED_READS;
			this.nextMillis = nowMillis;
		}
		boolean othersNews = othersMillis != Long.MIN_VALUE && nowMillis - othersMillis < OTHERS_MILLIS;
		if (nowMillis < this.nextMillis || (othersNews && this.alarmedReads == 0)) {
			return false;
		}
		this.alarmedReads = Math.max(0, this.alarmedReads - 1);
		long periodMillis = PERIOD_MILLIS / ranks;
		this.nextMillis = nowMillis
				+ ((this.alarmedReads > 0) ? Math.min(ALARMED_PERIOD_MILLIS, periodMillis) : periodMillis);
		return true;
	}

	/**
	 * Records that the group was formed anew, so that the next read only starts a window.
	 */
	void formedAnew() {
		this.nextMillis = Long.MIN_VALUE;
		this.alarmedReads = ALARMED_READS;
	}

	/**
	 * Schedules another read after the short interval.
	 * @param nowMillis the time, in milliseconds
	 */
	void again(long nowMillis) {
		this.nextMillis = nowMillis + ALARMED_PERIOD_MILLIS;
	}

	/**
	 * Records that a read has shown a shift of demand, which ends the short interval.
	 */
	void moved() {
		this.alarmedReads = 0;
	}

}
