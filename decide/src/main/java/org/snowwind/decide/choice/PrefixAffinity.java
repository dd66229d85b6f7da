package org.snowwind.decide.choice;

import java.util.List;
import java.util.Optional;

/**
 * Takes the server that requests with the same start go to, unless it is too full.
 *
 * <p>
 * Servers are ranked by rendezvous hashing, so that one server's coming or going moves
 * only its own share. A server over the load bound passes the request to the next in
 * rank.
 */
public final class PrefixAffinity implements ServerChooser {

	private static final long MIX_MULTIPLIER = 0x9E3779B97F4A7C15L;

	private final double loadBound;

	private final ServerChooser otherwise;

	/**
	 * Creates the chooser.
	 * @param loadBound how much fuller than the mean the preferred server may be
	 * @param otherwise asked when every server is over the bound
	 */
	public PrefixAffinity(double loadBound, ServerChooser otherwise) {
		this.loadBound = loadBound;
		this.otherwise = otherwise;
	}

	@Override
	public Optional<ServerView> choose(List<ServerView> candidates, long affinityHash) {
		double meanFullness = candidates.stream().mapToDouble(ServerView::fullness).average().orElse(0);
		ServerView best = null;
		long bestRank = 0;
		for (ServerView candidate : candidates) {
			if (candidate.fullness() > meanFullness * this.loadBound) {
				continue;
			}
			long rank = rank(candidate.name(), affinityHash);
			if (best == null || Long.compareUnsigned(rank, bestRank) > 0) {
				best = candidate;
				bestRank = rank;
			}
		}
		return (best != null) ? Optional.of(best) : this.otherwise.choose(candidates, affinityHash);
	}

	static long rank(String server, long affinityHash) {
		long mixed = (server.hashCode() * MIX_MULTIPLIER) ^ affinityHash;
		mixed = (mixed ^ (mixed >>> 32)) * MIX_MULTIPLIER;
		return mixed ^ (mixed >>> 29);
	}

}
