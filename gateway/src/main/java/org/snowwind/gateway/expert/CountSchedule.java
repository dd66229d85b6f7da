package org.snowwind.gateway.expert;

/**
 * Decides when the counts of a group's ranks are read. Confined to one thread.
 *
 * <p>
 * Each read costs the group half a millisecond for each 400 numbers. Demand that moves
 * makes passes much longer at once, so that counts are read seldom while passes are as
 * they were, and often for a moment after they have jumped.
 */
final class CountSchedule {

	/** How often the counts of a rank are read, in milliseconds. */
	private static final long PERIOD_MILLIS = 500;

	/** The same after passes have become much longer at once, in milliseconds. */
	private static final long ALARMED_PERIOD_MILLIS = 120;

	/**
	 * So many reads after passes have become much longer tell whether demand has moved:
	 * the first one spans the move, the others come after it.
	 */
	private static final int ALARMED_READS = 3;

	/**
	 * What another group has read is news for so long, in milliseconds: longer than it
	 * takes that group to read again, or both would read.
	 */
	private static final long OTHERS_MILLIS = 700;

	private long nextMillis = Long.MIN_VALUE;

	private long answeredJumpMillis = Long.MIN_VALUE;

	private int alarmedReads;

	/**
	 * Decides whether to read now, and takes it for done if so.
	 * @param nowMillis the time, in milliseconds
	 * @param jumpedMillis when passes have last become much longer at once, in
	 * milliseconds; {@link Long#MIN_VALUE} if they never have
	 * @param othersMillis when another group of the service has read last, in
	 * milliseconds; {@link Long#MIN_VALUE} if none has since this one
	 * @param ranks how many ranks have their turn, one each time
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
	 * Takes note that the ranks have begun to count anew, so that the next read tells
	 * nothing yet.
	 */
	void formedAnew() {
		this.nextMillis = Long.MIN_VALUE;
		this.alarmedReads = ALARMED_READS;
	}

	/**
	 * Has counts read once more soon, when what is read then is all of one demand.
	 * @param nowMillis the time, in milliseconds
	 */
	void again(long nowMillis) {
		this.nextMillis = nowMillis + ALARMED_PERIOD_MILLIS;
	}

	/**
	 * Takes note that a read has shown a move of demand: there is nothing more to find
	 * out.
	 */
	void moved() {
		this.alarmedReads = 0;
	}

}
