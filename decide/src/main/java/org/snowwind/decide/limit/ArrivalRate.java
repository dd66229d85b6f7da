package org.snowwind.decide.limit;

/**
 * Estimates the rate at which a process receives requests of one kind, as an
 * exponentially decaying average.
 */
public final class ArrivalRate {

	/** The age at which the weight of a request has decayed to 1/e, in milliseconds. */
	private static final double DECAY_MILLIS = 5000;

	private static final double MILLIS_PER_SECOND = 1000;

	private double perSecond;

	private long updatedMillis;

	/**
	 * Records a request.
	 * @param nowMillis the time, in milliseconds
	 */
	public void recordRequest(long nowMillis) {
		this.perSecond = perSecond(nowMillis) + MILLIS_PER_SECOND / DECAY_MILLIS;
		this.updatedMillis = nowMillis;
	}

	/**
	 * Returns the current estimate.
	 * @param nowMillis the time, in milliseconds
	 * @return requests per second
	 */
	public double perSecond(long nowMillis) {
		return this.perSecond * Math.exp((this.updatedMillis - nowMillis) / DECAY_MILLIS);
	}

}
