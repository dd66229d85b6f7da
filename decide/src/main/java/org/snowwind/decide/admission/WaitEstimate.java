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
	 * Estimates how long new work of an organisation would wait before it begins.
	 * @param ownWaiting how much of the organisation's work waits already
	 * @param places how many places the organisation has at the back end
	 * @return milliseconds
	 */
	public long waitMillis(int ownWaiting, double places) {
		return Math.round((ownWaiting + 1) * this.serviceMillis / places);
	}

	/**
	 * Tells how long work runs.
	 * @return milliseconds, 0 before any has ended
	 */
	public long serviceMillis() {
		return Math.round(this.serviceMillis);
	}

}
