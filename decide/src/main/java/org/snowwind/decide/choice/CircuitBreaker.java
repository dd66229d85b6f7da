package org.snowwind.decide.choice;

/**
 * Circuit breaker that stops sending work to a failing server and, once a probe has
 * succeeded, increases its share slowly.
 */
public final class CircuitBreaker {

	private static final int MAX_DOUBLINGS = 4;

	private final BreakerSettings settings;

	private int consecutiveFailures;

	private long openUntilMillis = Long.MIN_VALUE;

	private boolean probing;

	private int consecutiveOpenings;

	private long closedMillis = Long.MIN_VALUE;

	/**
	 * Creates a closed breaker.
	 * @param settings when the breaker opens and how it closes
	 */
	public CircuitBreaker(BreakerSettings settings) {
		this.settings = settings;
	}

	/**
	 * Returns whether the server may be offered work.
	 * @param nowMillis the time, in milliseconds
	 * @return true if it may
	 */
	public boolean allows(long nowMillis) {
		if (this.consecutiveFailures < this.settings.failuresToOpen()) {
			return true;
		}
		return nowMillis >= this.openUntilMillis && !this.probing;
	}

	/**
	 * Records that work is sent to the server. If the breaker is open, this is the only
	 * probe until its outcome is recorded.
	 */
	public void recordSent() {
		this.probing = this.consecutiveFailures >= this.settings.failuresToOpen();
	}

	/**
	 * Records that work was withdrawn, so that its outcome says nothing about the server.
	 */
	public void recordWithdrawn() {
		this.probing = false;
	}

	/**
	 * Records a success.
	 * @param nowMillis the time, in milliseconds
	 */
	public void recordSuccess(long nowMillis) {
		if (this.consecutiveFailures >= this.settings.failuresToOpen()) {
			this.closedMillis = nowMillis;
		}
		this.consecutiveFailures = 0;
		this.probing = false;
		this.consecutiveOpenings = 0;
	}

	/**
	 * Records a failure that is attributed to the server.
	 * @param nowMillis the time, in milliseconds
	 */
	public void recordFailure(long nowMillis) {
		boolean probeFailed = this.probing;
		this.probing = false;
		this.consecutiveFailures++;
		boolean opens = this.consecutiveFailures == this.settings.failuresToOpen() || probeFailed;
		if (opens) {
			long openMillis = this.settings.openMillis() << Math.min(this.consecutiveOpenings, MAX_DOUBLINGS);
			this.consecutiveOpenings++;
			this.openUntilMillis = nowMillis + openMillis;
		}
	}

	/**
	 * Returns the fraction of its normal share that the server gets during slow start.
	 * @param nowMillis the time, in milliseconds
	 * @return a number from {@link BreakerSettings#lowestStartFactor()} to 1
	 */
	public double slowStartFactor(long nowMillis) {
		if (this.closedMillis == Long.MIN_VALUE) {
			return 1;
		}
		double share = (double) (nowMillis - this.closedMillis) / this.settings.slowStartMillis();
		return Math.min(1, Math.max(this.settings.lowestStartFactor(), share));
	}

	/**
	 * When a breaker opens and how it closes.
	 *
	 * @param failuresToOpen how many consecutive failures open it
	 * @param openMillis how long it stays open before the first probe, in milliseconds;
	 * each failed probe doubles this time, up to sixteen times the initial value
	 * @param slowStartMillis how long it takes until the server has its full share again,
	 * in milliseconds
	 * @param lowestStartFactor the fraction of its share with which slow start begins
	 */
	public record BreakerSettings(int failuresToOpen, long openMillis, long slowStartMillis, double lowestStartFactor) {

		/** The settings that entry processes use. */
		public static final BreakerSettings DEFAULT = new BreakerSettings(3, 1000, 10_000, 0.1);

	}

}
