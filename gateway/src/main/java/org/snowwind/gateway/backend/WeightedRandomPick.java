package org.snowwind.gateway.backend;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Picks a server at random, with a higher probability for servers with more room.
 *
 * <p>
 * Requests of other gateways become known some hundred milliseconds late. If all gateways
 * picked the server that seems least utilized, they would all pick the same one until the
 * next reports arrive.
 */
final class WeightedRandomPick implements ServerPick {

	/**
	 * The exponent of the free share in a server's weight. A higher one concentrates
	 * requests on servers that only seem empty, a lower one sends more to full ones.
	 */
	private static final double FREE_SHARE_EXPONENT = 2;

	/**
	 * How much more likely a server in the same data centre is picked than a remote one
	 * with the same room. If a third of the servers are local, two of three requests stay
	 * local, and a data centre that is busier than others can still use remote servers.
	 */
	private static final double LOCAL_WEIGHT = 4;

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
		return Math.pow(candidate.freeShare(), FREE_SHARE_EXPONENT) * (candidate.local() ? LOCAL_WEIGHT : 1);
	}

}
