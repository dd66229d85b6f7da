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
	 * Returns the way to pick one of few servers, of which a process sees most requests.
	 * @return the pick
	 */
	static ServerPick leastFull() {
		return new LeastFull();
	}

	/**
	 * Returns the way to pick one of many servers, of which others' requests are known
	 * late.
	 * @return the pick
	 */
	static ServerPick drawnByRoom() {
		return new DrawnByRoom();
	}

}
