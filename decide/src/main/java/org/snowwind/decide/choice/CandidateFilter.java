package org.snowwind.decide.choice;

import java.util.List;
import java.util.function.Predicate;

/**
 * Filters the servers from which one is chosen.
 */
public final class CandidateFilter {

	private CandidateFilter() {
	}

	/**
	 * Keeps the healthy servers, or all servers if too few seem healthy.
	 *
	 * <p>
	 * If most servers seem to be down, the observer is more likely at fault than the
	 * servers.
	 * @param servers all servers of the target
	 * @param healthy whether a server seems healthy
	 * @param panicShare the share of healthy servers below which all servers are kept
	 * @return the servers to choose from
	 */
	public static List<ServerView> healthyUnlessPanic(List<ServerView> servers, Predicate<ServerView> healthy,
			double panicShare) {
		List<ServerView> healthyServers = servers.stream().filter(healthy).toList();
		boolean panic = healthyServers.size() < servers.size() * panicShare;
		return panic ? servers : healthyServers;
	}

	/**
	 * Keeps the servers of the chooser's data centre unless all of them are full and
	 * servers of other data centres are not.
	 * @param servers the servers to choose from
	 * @param spillFullness the load ratio above which work spills over to other data
	 * centres
	 * @return the servers to choose from
	 */
	public static List<ServerView> localUnlessFull(List<ServerView> servers, double spillFullness) {
		List<ServerView> local = servers.stream().filter(ServerView::sameDataCentre).toList();
		boolean localCapacity = local.stream().anyMatch((server) -> server.loadRatio() <= spillFullness);
		if (localCapacity) {
			return local;
		}
		List<ServerView> withCapacity = servers.stream()
			.filter((server) -> server.loadRatio() <= spillFullness)
			.toList();
		if (!withCapacity.isEmpty()) {
			return withCapacity;
		}
		return local.isEmpty() ? servers : local;
	}

}
