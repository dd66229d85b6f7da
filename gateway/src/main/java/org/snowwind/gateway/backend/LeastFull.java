package org.snowwind.gateway.backend;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Takes the least full server, one of them at random if there are several. A server in
 * the own data centre is preferred while it has about one request more at most.
 */
final class LeastFull implements ServerPick {

	/** What the way to another data centre weighs, in parts of a full server. */
	private static final double WAY_WEIGHT = 0.15;

	@Override
	public Optional<Backend> pick(List<Candidate> candidates, RandomGenerator random) {
		Backend best = null;
		double bestFullness = Double.MAX_VALUE;
		int ties = 0;
		for (Candidate candidate : candidates) {
			double fullness = candidate.fullness() + (candidate.near() ? 0 : WAY_WEIGHT);
			ties = (fullness == bestFullness) ? ties + 1 : 1;
			boolean drawn = fullness == bestFullness && random.nextInt(ties) == 0;
			if (fullness < bestFullness || drawn) {
				best = candidate.backend();
				bestFullness = fullness;
			}
		}
		return Optional.ofNullable(best);
	}

}
