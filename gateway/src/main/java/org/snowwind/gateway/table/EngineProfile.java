package org.snowwind.gateway.table;

/**
 * The performance parameters of a service's model engines, as configured by the operator.
 *
 * @param slots the number of requests that one engine runs concurrently
 * @param memoryTokens the number of tokens that fit in one engine's memory
 * @param stepsPerPass the number of token steps in one pass of a group
 * @param stepMillis the duration of a step of a group without requests, in milliseconds
 * @param perRequestMillis the time that each running request adds to a step, in
 * milliseconds
 * @param perThousandContextMillis the time that each thousand tokens of context add to a
 * step, in milliseconds
 * @param promptTokensPerSecond the number of prompt tokens processed per second
 * @param expertSets the number of expert sets; 0 for engines without experts
 * @param experts the number of experts in a set
 * @param placesPerRank the number of experts of one set that fit on a rank
 * @param newExpertsPerMap the maximum number of experts of a set that one map may add to
 * a rank
 * @param expertMegabytes the size of one expert, in megabytes
 * @param linkMegabitsPerSecond the bandwidth at which experts are copied, in megabits per
 * second
 * @param expertShare the fraction of a step's work that the experts do
 */
public record EngineProfile(int slots, long memoryTokens, int stepsPerPass, double stepMillis, double perRequestMillis,
		double perThousandContextMillis, double promptTokensPerSecond, int expertSets, int experts, int placesPerRank,
		int newExpertsPerMap, double expertMegabytes, double linkMegabitsPerSecond, double expertShare) {

	private static final double BITS_PER_BYTE = 8;

	private static final double MILLIS_PER_SECOND = 1000;

	/**
	 * Returns whether the experts are distributed over the ranks of a group.
	 * @return true if the engines have experts
	 */
	public boolean hasExperts() {
		return this.expertSets > 0 && this.experts > 0 && this.placesPerRank > 0;
	}

	/**
	 * Returns the time that copying one expert takes.
	 * @return the time, in milliseconds
	 */
	public double copyMillis() {
		return this.expertMegabytes * BITS_PER_BYTE / this.linkMegabitsPerSecond * MILLIS_PER_SECOND;
	}

}
