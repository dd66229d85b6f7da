package org.snowwind.decide.admission;

/**
 * Estimates how long work would wait before a back end, from how long work took lately.
 *
 * <p>
 * Work that could not end in time is refused when it arrives, not when its time is up, so
 * that its caller learns at once.
 */
public final class WaitEstimate {

	private static final double NEW_SAMPLE_SHARE = 0.1;

	private double serviceMillis;

	/**
	 * Takes note of work that ended.
	 * @param tookMillis how long it ran, in milliseconds
	 */
	public void ended(long tookMillis) {
		boolean first = this.serviceMillis == 0;
		this.serviceMillis = first ? tookMillis
				: this.serviceMillis * (1 - NEW_SAMPLE_SHARE) + tookMillis * NEW_SAMPLE_SHARE;
	}

	/**
	 * Estimates how long new work would wait before it begins.
	 * @param running how many pieces of work run
	 * @param limit how many may run at once
	 * @param ahead how many would be served before it
	 * @return milliseconds, 0 if it would begin at once
	 */
	public long waitMillis(int running, int limit, int ahead) {
		if (running < limit) {
			return 0;
		}
		return Math.round((ahead + 1) * this.serviceMillis / Math.max(1, limit));
	}

	/**
	 * Tells how long work runs.
	 * @return milliseconds, 0 before any has ended
	 */
	public long serviceMillis() {
		return Math.round(this.serviceMillis);
	}

}
