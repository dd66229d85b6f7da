package org.snowwind.standin;

/**
 * How a stand-in engine behaves.
 *
 * @param stepMillis how long a step takes, in milliseconds
 * @param maxBatch how many requests share a step
 * @param prefillBytesPerStep how much of an uncached prompt a step takes in, in bytes
 * @param cachedPrefixes how many prompt prefixes are remembered
 * @param loadLagMillis how late the load report is, in milliseconds
 * @param honoursFencing whether an order with an old fencing number is refused
 */
public record EngineSettings(long stepMillis, int maxBatch, int prefillBytesPerStep, int cachedPrefixes,
		long loadLagMillis, boolean honoursFencing) {

	/** An engine as the users describe theirs. */
	public static final EngineSettings DEFAULT = new EngineSettings(5, 16, 2048, 64, 500, true);

	/**
	 * Returns the settings with another pace.
	 * @param millis how long a step takes, in milliseconds
	 * @param batch how many requests share a step
	 * @return new settings
	 */
	public EngineSettings withPace(long millis, int batch) {
		return new EngineSettings(millis, batch, this.prefillBytesPerStep, this.cachedPrefixes, this.loadLagMillis,
				this.honoursFencing);
	}

}
