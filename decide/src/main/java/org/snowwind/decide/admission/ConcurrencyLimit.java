package org.snowwind.decide.admission;

/**
 * Finds how many requests a back end takes at once before they wait inside it.
 *
 * <p>
 * Each sample is the delay from sending a request to the first byte of its answer. While
 * the smoothed delay stays near the lowest seen, the limit grows by one in each limit's
 * worth of samples; when it rises over the tolerated multiple, it shrinks by a tenth. An
 * engine that works in steps answers a lucky request almost at once, so a fixed slack of
 * some steps is tolerated whatever the lowest delay is.
 */
public final class ConcurrencyLimit {

	private static final double SHRINK = 0.9;

	/** The floor drifts up slowly, so that a changed back end is learnt anew. */
	private static final double FLOOR_DRIFT = 1.01;

	private static final double SLACK_MILLIS = 15;

	private static final double FELT_SHARE = 0.9;

	private static final double NEW_SAMPLE_SHARE = 0.2;

	private final int lowest;

	private final int highest;

	private final double toleratedMultiple;

	private double limit;

	private double floorMillis = Double.MAX_VALUE;

	private double smoothedMillis = -1;

	private int samplesSinceShrink;

	/**
	 * Creates a limit.
	 * @param start the first limit
	 * @param lowest never lower than this
	 * @param highest never higher than this
	 * @param toleratedMultiple how far over the lowest delay a sample may lie
	 */
	public ConcurrencyLimit(int start, int lowest, int highest, double toleratedMultiple) {
		this.limit = start;
		this.lowest = lowest;
		this.highest = highest;
		this.toleratedMultiple = toleratedMultiple;
	}

	/**
	 * Returns the limit.
	 * @return a number of requests
	 */
	public int current() {
		return (int) this.limit;
	}

	/**
	 * Takes note of a sample.
	 * @param delayMillis from sending to the first byte, in milliseconds
	 * @param runningThen how many requests ran when it was sent
	 */
	public void sample(double delayMillis, int runningThen) {
		double delay = Math.max(1, delayMillis);
		this.floorMillis = Math.min(this.floorMillis * FLOOR_DRIFT, delay);
		boolean first = this.smoothedMillis < 0;
		this.smoothedMillis = first ? delay : this.smoothedMillis * (1 - NEW_SAMPLE_SHARE) + delay * NEW_SAMPLE_SHARE;
		this.samplesSinceShrink++;
		double tolerated = Math.max(this.floorMillis * this.toleratedMultiple, this.floorMillis + SLACK_MILLIS);
		if (this.smoothedMillis > tolerated) {
			shrinkOncePerRound();
			return;
		}
		boolean limitWasFelt = runningThen >= current() * FELT_SHARE;
		if (limitWasFelt) {
			this.limit = Math.min(this.highest, this.limit + 1 / this.limit);
		}
	}

	private void shrinkOncePerRound() {
		if (this.samplesSinceShrink < current()) {
			return;
		}
		this.samplesSinceShrink = 0;
		this.limit = Math.max(this.lowest, this.limit * SHRINK);
	}

}
