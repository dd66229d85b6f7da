package org.snowwind.decide.choice;

/**
 * Keeps work from a server that fails, and brings it back slowly.
 */
public final class Breaker {

	private static final int MAX_DOUBLINGS = 4;

	private final BreakerSettings settings;

	private int failuresInARow;

	private long openUntilMillis = Long.MIN_VALUE;

	private boolean probing;

	private int openings;

	private long startedMillis = Long.MIN_VALUE;

	/**
	 * Creates a closed breaker.
	 * @param settings when it opens and how it closes
	 */
	public Breaker(BreakerSettings settings) {
		this.settings = settings;
	}

	/**
	 * Tells whether the server may be offered work.
	 * @param nowMillis the time, in milliseconds
	 * @return true if it may
	 */
	public boolean allows(long nowMillis) {
		if (this.failuresInARow < this.settings.failuresToOpen()) {
			return true;
		}
		return nowMillis >= this.openUntilMillis && !this.probing;
	}

	/**
	 * Takes note that work is sent; on an open breaker it counts as the one probe until
	 * its end is known.
	 */
	public void sent() {
		this.probing = this.failuresInARow >= this.settings.failuresToOpen();
	}

	/**
	 * Takes note that work was withdrawn, so that its end says nothing of the server.
	 */
	public void withdrawn() {
		this.probing = false;
	}

	/**
	 * Takes note of a success.
	 * @param nowMillis the time, in milliseconds
	 */
	public void succeeded(long nowMillis) {
		if (this.failuresInARow >= this.settings.failuresToOpen()) {
			this.startedMillis = nowMillis;
		}
		this.failuresInARow = 0;
		this.probing = false;
		this.openings = 0;
	}

	/**
	 * Takes note of a failure that speaks against the server.
	 * @param nowMillis the time, in milliseconds
	 */
	public void failed(long nowMillis) {
		boolean probeFailed = this.probing;
		this.probing = false;
		this.failuresInARow++;
		boolean opens = this.failuresInARow == this.settings.failuresToOpen() || probeFailed;
		if (opens) {
			long openMillis = this.settings.openMillis() << Math.min(this.openings, MAX_DOUBLINGS);
			this.openings++;
			this.openUntilMillis = nowMillis + openMillis;
		}
	}

	/**
	 * Returns how much of its share the server gets.
	 * @param nowMillis the time, in milliseconds
	 * @return from just above 0 to 1
	 */
	public double startFactor(long nowMillis) {
		if (this.startedMillis == Long.MIN_VALUE) {
			return 1;
		}
		double share = (double) (nowMillis - this.startedMillis) / this.settings.slowStartMillis();
		return Math.min(1, Math.max(this.settings.lowestStartFactor(), share));
	}

	/**
	 * When a breaker opens and how it closes.
	 *
	 * @param failuresToOpen how many failures in a row open it
	 * @param openMillis how long it stays open before the first probe, in milliseconds;
	 * each failed probe doubles it, up to sixteen times
	 * @param slowStartMillis how long the server takes to get its whole share back, in
	 * milliseconds
	 * @param lowestStartFactor the share with which it begins
	 */
	public record BreakerSettings(int failuresToOpen, long openMillis, long slowStartMillis, double lowestStartFactor) {

		/** What entries use. */
		public static final BreakerSettings DEFAULT = new BreakerSettings(3, 1000, 10_000, 0.1);

	}

}
