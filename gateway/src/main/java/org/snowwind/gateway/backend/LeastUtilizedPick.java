package org.snowwind.gateway.backend;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Picks the least utilized server, at random among equal ones. A server in the same data
 * centre is preferred as long as it has at most about one request more than a remote one.
 */
final class LeastUtilizedPick implements ServerPick {

	/** The penalty of a server in another data centre, as a fraction of its capacity. */
	private static final double REMOTE_PENALTY = 0.15;

	@Override
	public Optional<Backend> pick(List<Candidate> candidates, RandomGenerator random) {
		Backend best = null;
		double lowestUtilization = Double.MAX_VALUE;
		int ties = 0;
		for (Candidate candidate : candidates) {
			double utilization = candidate.utilization() + (candidate.local() ? 0 : REMOTE_PENALTY);
			ties = (utilization == lowestUtilization) ? ties + 1 : 1;
			boolean drawn = utilization == lowestUtilization && random.nextInt(ties) == 0;
			if (utilization < lowestUtilization || drawn) {
				best = candidate.backend();
				lowestUtilization = utilization;
			}
		}
		return Optional.ofNullable(best);
	}

}
