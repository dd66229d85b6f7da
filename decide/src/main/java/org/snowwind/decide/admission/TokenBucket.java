package org.snowwind.decide.admission;

/**
 * Lets through a steady rate with bursts.
 */
public final class TokenBucket {

	private static final double MILLIS_PER_SECOND = 1000;

	private double ratePerSecond;

	private double burst;

	private double tokens;

	private long refilledMillis;

	/**
	 * Creates a full bucket.
	 * @param ratePerSecond tokens that come in each second
	 * @param burst the most tokens it holds
	 * @param nowMillis the time, in milliseconds
	 */
	public TokenBucket(double ratePerSecond, double burst, long nowMillis) {
		this.ratePerSecond = ratePerSecond;
		this.burst = burst;
		this.tokens = burst;
		this.refilledMillis = nowMillis;
	}

	/**
	 * Changes the limits; what is in the bucket stays, up to the new burst.
	 * @param newRatePerSecond tokens that come in each second
	 * @param newBurst the most tokens it holds
	 */
	public void limits(double newRatePerSecond, double newBurst) {
		this.ratePerSecond = newRatePerSecond;
		this.burst = newBurst;
		this.tokens = Math.min(this.tokens, newBurst);
	}

	/**
	 * Takes one token if there is one.
	 * @param nowMillis the time, in milliseconds
	 * @return true if it was taken
	 */
	public boolean tryTake(long nowMillis) {
		double elapsedSeconds = (nowMillis - this.refilledMillis) / MILLIS_PER_SECOND;
		this.tokens = Math.min(this.burst, this.tokens + elapsedSeconds * this.ratePerSecond);
		this.refilledMillis = nowMillis;
		if (this.tokens < 1) {
			return false;
		}
		this.tokens -= 1;
		return true;
	}

	/**
	 * Tells when the next token comes.
	 * @return from now, in milliseconds
	 */
	public long nextTokenMillis() {
		double missing = Math.max(0, 1 - this.tokens);
		return (long) Math.ceil(missing / this.ratePerSecond * MILLIS_PER_SECOND);
	}

}
