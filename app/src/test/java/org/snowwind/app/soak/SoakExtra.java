package org.snowwind.app.soak;

import java.util.Arrays;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * What a soak may play beside the usual faults.
 */
enum SoakExtra {

	/** A caller sends a request that ends each server that runs it. */
	FATAL(2, 1),

	/** Servers name limits. */
	LIMITS(4, 2),

	/** Servers reject with {@code Retry-After} and announce departures. */
	NOTICES(8, 4),

	/** Connections to the store go silent as configurations change. */
	SILENT_STORE(16, 8),

	/** The store is restored from older copies. */
	DRILLS(3, 1),

	/** Data centres are evacuated. */
	EVACUATIONS(5, 2),

	/** Requests come with parts in their prompts that crash servers. */
	CRASHING_PARTS(7, 3),

	/** Servers come whose answers have no end. */
	ENDLESS(9, 4),

	/** Servers go silent at once and go on. */
	SILENT_SERVERS(11, 5),

	/** Servers come whose answers are not valid HTTP. */
	MALFORMED(13, 6),

	/**
	 * Organisations have names that are easily confused, and at times no organisation has
	 * a key.
	 */
	ORGANISATIONS(17, 8);

	private final int period;

	private final int seedsPerPeriod;

	SoakExtra(int period, int seedsPerPeriod) {
		this.period = period;
		this.seedsPerPeriod = seedsPerPeriod;
	}

	/**
	 * Chooses the extras of a soak by hand. The periods differ, so that seeds have all
	 * combinations.
	 * @param seed the seed of the soak, from 0 up
	 * @return the extras
	 */
	static Set<SoakExtra> of(long seed) {
		return Arrays.stream(values())
			.filter((extra) -> seed % extra.period < extra.seedsPerPeriod)
			.collect(Collectors.toUnmodifiableSet());
	}

}
