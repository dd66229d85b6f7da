package org.snowwind.decide.admission;

/**
 * Estimates the queueing delay of new work at a back end from the recent duration of
 * work.
 *
 * <p>
 * Work that could not end before its deadline is rejected when it arrives, not when the
 * deadline has passed, so that its caller is told at once.
 */
public final class QueueDelayEstimator {

	private static final double NEW_SAMPLE_WEIGHT = 0.1;

	private double serviceMillis;

	/**
	 * Records work that ended.
	 * @param durationMillis how long it ran, in milliseconds
	 */
	public void ended(long durationMillis) {
		boolean first = this.serviceMillis == 0;
		this.serviceMillis = first ? durationMillis
				: this.serviceMillis * (1 - NEW_SAMPLE_WEIGHT) + durationMillis * NEW_SAMPLE_WEIGHT;
	}

	/**
	 * Estimates how long new work of an organisation would wait before it begins.
	 * @param ownQueued how many items of the organisation are already queued
	 * @param slots how many slots of the back end the organisation can use
	 * @return the delay, in milliseconds
	 */
	public long delayMillis(int ownQueued, double slots) {
		return Math.round((ownQueued + 1) * this.serviceMillis / slots);
	}

	/**
	 * Returns how long work runs on average.
	 * @return the time, in milliseconds; 0 before any work has ended
	 */
	public long serviceMillis() {
		return Math.round(this.serviceMillis);
	}

}
