package org.snowwind.gateway.backend;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Takes the least full server, one of them at random if there are several.
 */
final class LeastFull implements ServerPick {

	@Override
	public Optional<Backend> pick(List<Candidate> candidates, RandomGenerator random) {
		Backend best = null;
		double bestFullness = Double.MAX_VALUE;
		int ties = 0;
		for (Candidate candidate : candidates) {
			double fullness = candidate.fullness();
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
