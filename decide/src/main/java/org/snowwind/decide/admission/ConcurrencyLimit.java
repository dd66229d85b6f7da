package org.snowwind.decide.admission;

/**
 * Estimates how many requests a back end can run concurrently before they queue inside
 * it.
 *
 * <p>
 * Each sample is the delay from sending a request to the first byte of its response.
 * While the smoothed delay stays within a tolerated multiple of the lowest delay, the
 * limit grows by one per round, which is as many samples as the limit. When the smoothed
 * delay exceeds that multiple, the limit shrinks by a tenth. An engine that works in
 * steps answers a request that arrives just before a step almost at once, so a fixed
 * slack of some steps is tolerated however low the lowest delay is.
 */
public final class ConcurrencyLimit {

	private static final double SHRINK_FACTOR = 0.9;

	/**
	 * The factor by which the lowest delay slowly grows with each sample, so that it
	 * adapts when the back end changes.
	 */
	private static final double FLOOR_GROWTH = 1.01;

	private static final double SLACK_MILLIS = 15;

	private static final double FULL_SHARE = 0.9;

	private static final double NEW_SAMPLE_WEIGHT = 0.2;

	private final int lowest;

	private final int highest;

	private final double toleratedMultiple;

	private double limit;

	private double floorMillis = Double.MAX_VALUE;

	private double smoothedMillis = -1;

	private int samplesSinceShrink;

	/**
	 * Creates a limit.
	 * @param start the initial limit
	 * @param lowest the lowest limit
	 * @param highest the highest limit
	 * @param toleratedMultiple the multiple of the lowest delay up to which the smoothed
	 * delay is tolerated
	 */
	public ConcurrencyLimit(int start, int lowest, int highest, double toleratedMultiple) {
		this.limit = start;
		this.lowest = lowest;
		this.highest = highest;
		this.toleratedMultiple = toleratedMultiple;
	}

	/**
	 * Returns the current limit.
	 * @return how many requests may run concurrently
	 */
	public int current() {
		return (int) this.limit;
	}

	/**
	 * Records a sample.
	 * @param delayMillis the time from sending the request to the first byte of its
	 * response, in milliseconds
	 * @param runningAtSend how many requests were running when it was sent
	 */
	public void sample(double delayMillis, int runningAtSend) {
		double delay = Math.max(1, delayMillis);
		this.floorMillis = Math.min(this.floorMillis * FLOOR_GROWTH, delay);
		boolean first = this.smoothedMillis < 0;
		this.smoothedMillis = first ? delay : this.smoothedMillis * (1 - NEW_SAMPLE_WEIGHT) + delay * NEW_SAMPLE_WEIGHT;
		this.samplesSinceShrink++;
		double tolerated = Math.max(this.floorMillis * this.toleratedMultiple, this.floorMillis + SLACK_MILLIS);
		if (this.smoothedMillis > tolerated) {
			shrinkOncePerRound();
			return;
		}
		boolean limitWasReached = runningAtSend >= current() * FULL_SHARE;
		if (limitWasReached) {
			this.limit = Math.min(this.highest, this.limit + 1 / this.limit);
		}
	}

	private void shrinkOncePerRound() {
		if (this.samplesSinceShrink < current()) {
			return;
		}
		this.samplesSinceShrink = 0;
		this.limit = Math.max(this.lowest, this.limit * SHRINK_FACTOR);
	}

}
