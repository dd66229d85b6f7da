package org.snowwind.decide.choice;

import java.util.List;
import java.util.Optional;

/**
 * Chooses the server to which requests with the same prefix are sent, unless its load is
 * too high.
 *
 * <p>
 * Servers are ranked by rendezvous hashing, so that adding or removing a server moves
 * only the requests of that server. If a server exceeds the load bound, the next one in
 * rank is chosen.
 */
public final class PrefixAffinity implements ServerChooser {

	private final double loadBound;

	private final ServerChooser fallback;

	/**
	 * Creates the chooser.
	 * @param loadBound the maximum ratio between the load ratio of the preferred server
	 * and the mean of all
	 * @param fallback chooses if every server exceeds the bound
	 */
	public PrefixAffinity(double loadBound, ServerChooser fallback) {
		this.loadBound = loadBound;
		this.fallback = fallback;
	}

	@Override
	public Optional<ServerView> choose(List<ServerView> candidates, long affinityHash) {
		double meanLoadRatio = candidates.stream().mapToDouble(ServerView::loadRatio).average().orElse(0);
		ServerView best = null;
		long bestScore = 0;
		for (ServerView candidate : candidates) {
			if (candidate.loadRatio() > meanLoadRatio * this.loadBound) {
				continue;
			}
			long score = RendezvousHashing.score(candidate.name(), affinityHash);
			if (best == null || Long.compareUnsigned(score, bestScore) > 0) {
				best = candidate;
				bestScore = score;
			}
		}
		return (best != null) ? Optional.of(best) : this.fallback.choose(candidates, affinityHash);
	}

}
