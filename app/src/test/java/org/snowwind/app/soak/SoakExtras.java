package org.snowwind.app.soak;

/**
 * What a soak plays beside the usual faults.
 *
 * @param fatal whether a caller sends a request that ends each server that runs it
 * @param limits whether servers name limits
 * @param notices whether servers reject with {@code Retry-After} and announce departures
 * @param silentStore whether connections to the store go silent as configurations change
 * @param drills whether the store is restored from older copies
 * @param evacuations whether data centres are evacuated
 * @param crashingParts whether requests come with parts in their prompts that crash
 * servers
 * @param endless whether servers come whose answers have no end
 * @param silentServers whether servers go silent at once and go on
 * @param malformed whether servers come whose answers are not valid HTTP
 * @param organisations whether there are organisations with names that are easily
 * confused, and times in which no organisation has a key
 */
record SoakExtras(boolean fatal, boolean limits, boolean notices, boolean silentStore, boolean drills,
		boolean evacuations, boolean crashingParts, boolean endless, boolean silentServers, boolean malformed,
		boolean organisations) {

	static final SoakExtras NONE = new SoakExtras(false, false, false, false, false, false, false, false, false, false,
			false);

	/** Chooses the extras of a soak by hand, so that seeds have all combinations. */
	static SoakExtras of(long seed) {
		return new SoakExtras(seed % 2 == 0, seed % 4 < 2, seed % 8 < 4, seed % 16 < 8, seed % 3 == 0, seed % 5 < 2,
				seed % 7 < 3, seed % 9 < 4, seed % 11 < 5, seed % 13 < 6, seed % 17 < 8);
	}

}
