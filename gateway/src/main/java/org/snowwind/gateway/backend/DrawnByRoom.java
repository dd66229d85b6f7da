package org.snowwind.gateway.backend;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Draws a server, the likelier the more room it has.
 *
 * <p>
 * What other gateways have sent is known some hundred milliseconds late. If all took the
 * server that looked least full, they would all take the same one until the news came
 * round.
 */
final class DrawnByRoom implements ServerPick {

	/**
	 * The power of the room in a server's weight. Of 1, 2 and 4 it sent the fewest
	 * requests to full servers at 64 servers, 39 gateways and news 300 ms old; see
	 * docs/design/platform.md.
	 */
	private static final double POWER = 2;

	/**
	 * How much likelier a server in the own data centre is drawn than another with the
	 * same room: two of three requests stay there where a third of the servers are, and a
	 * data centre that is busier than others still gets its share elsewhere.
	 */
	private static final double NEAR_WEIGHT = 4;

	@Override
	public Optional<Backend> pick(List<Candidate> candidates, RandomGenerator random) {
		double sum = 0;
		for (Candidate candidate : candidates) {
			sum += weight(candidate);
		}
		double drawn = random.nextDouble() * sum;
		Backend last = null;
		for (Candidate candidate : candidates) {
			last = candidate.backend();
			drawn -= weight(candidate);
			if (drawn < 0) {
				break;
			}
		}
		return Optional.ofNullable(last);
	}

	private static double weight(Candidate candidate) {
		return Math.pow(candidate.roomShare(), POWER) * (candidate.near() ? NEAR_WEIGHT : 1);
	}

}
