package org.snowwind.decide.admission;

/**
 * Limits a rate and allows bursts. Each admitted request takes one token.
 */
public final class TokenBucket {

	private static final double MILLIS_PER_SECOND = 1000;

	private double ratePerSecond;

	private double burst;

	private double tokens;

	private long refilledMillis;

	/**
	 * Creates a full bucket.
	 * @param ratePerSecond how many tokens are added per second
	 * @param burst the capacity, in tokens
	 * @param nowMillis the time, in milliseconds
	 */
	public TokenBucket(double ratePerSecond, double burst, long nowMillis) {
		this.ratePerSecond = ratePerSecond;
		this.burst = burst;
		this.tokens = burst;
		this.refilledMillis = nowMillis;
	}

	/**
	 * Changes the rate and the capacity. The bucket keeps its tokens up to the new
	 * capacity.
	 * @param newRatePerSecond how many tokens are added per second
	 * @param newBurst the capacity, in tokens
	 */
	public void setLimits(double newRatePerSecond, double newBurst) {
		this.ratePerSecond = newRatePerSecond;
		this.burst = newBurst;
		this.tokens = Math.min(this.tokens, newBurst);
	}

	/**
	 * Takes one token if there is one.
	 * @param nowMillis the time, in milliseconds
	 * @return true if a token was taken
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
	 * Returns how long it takes until a token is available. The time counts from the last
	 * call of {@link #tryTake}.
	 * @return the time, in milliseconds
	 */
	public long nextTokenMillis() {
		double missing = Math.max(0, 1 - this.tokens);
		return (long) Math.ceil(missing / this.ratePerSecond * MILLIS_PER_SECOND);
	}

}
