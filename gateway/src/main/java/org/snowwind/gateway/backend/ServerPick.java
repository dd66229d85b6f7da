package org.snowwind.gateway.backend;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Picks one of the servers that have room.
 */
interface ServerPick {

	/**
	 * Picks a server.
	 * @param candidates the servers that have room
	 * @param random the source of randomness
	 * @return one of them, empty if there are none
	 */
	Optional<Backend> pick(List<Candidate> candidates, RandomGenerator random);

	/**
	 * Returns the strategy for few servers, most requests of which are known to this
	 * process.
	 * @return the strategy
	 */
	static ServerPick leastUtilized() {
		return new LeastUtilizedPick();
	}

	/**
	 * Returns the strategy for many servers, where requests of other gateways become
	 * known late.
	 * @return the strategy
	 */
	static ServerPick weightedRandom() {
		return new WeightedRandomPick();
	}

}
