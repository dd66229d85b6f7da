package org.snowwind.gateway.table;

/**
 * How fast the model engines of a service are, by the operator's word.
 *
 * @param slots how many requests one engine runs at once
 * @param memoryTokens how many tokens fit in one engine's memory
 * @param stepsPerPass how many token steps one pass of a group takes
 * @param stepMillis the time of a step of an empty group, in milliseconds
 * @param perRequestMillis what each running request adds to a step, in milliseconds
 * @param perThousandContextMillis what each thousand tokens of context add to a step, in
 * milliseconds
 * @param promptTokensPerSecond how many prompt tokens are read in a second
 * @param expertSets how many sets of experts there are; 0 for engines without experts
 * @param experts how many experts a set has
 * @param placesPerRank how many experts of one set fit on a rank
 * @param newExpertsPerMap how many experts of a set may be new to a rank in one map
 * @param expertMegabytes the size of one expert, in megabytes
 * @param linkMegabitsPerSecond how fast experts are copied
 * @param expertShare the part of a step's work that the experts do
 */
public record EngineProfile(int slots, long memoryTokens, int stepsPerPass, double stepMillis, double perRequestMillis,
		double perThousandContextMillis, double promptTokensPerSecond, int expertSets, int experts, int placesPerRank,
		int newExpertsPerMap, double expertMegabytes, double linkMegabitsPerSecond, double expertShare) {

	private static final double BITS_PER_BYTE = 8;

	private static final double MILLIS_PER_SECOND = 1000;

	/**
	 * Tells whether ranks of a group share experts.
	 * @return true if they do
	 */
	public boolean hasExperts() {
		return this.expertSets > 0 && this.experts > 0 && this.placesPerRank > 0;
	}

	/**
	 * Returns how long the copy of one expert takes.
	 * @return the time, in milliseconds
	 */
	public double copyMillis() {
		return this.expertMegabytes * BITS_PER_BYTE / this.linkMegabitsPerSecond * MILLIS_PER_SECOND;
	}

}
