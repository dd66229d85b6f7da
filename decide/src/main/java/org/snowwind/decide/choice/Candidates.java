package org.snowwind.decide.choice;

import java.util.List;
import java.util.function.Predicate;

/**
 * Narrows down the servers before one is chosen.
 */
public final class Candidates {

	private Candidates() {
	}

	/**
	 * Keeps the healthy servers, or all of them when too few look healthy.
	 *
	 * <p>
	 * When most servers look dead, the observer is more likely wrong than the servers.
	 * @param servers all servers of the target
	 * @param healthy whether one looks healthy
	 * @param panicShare below this share of healthy ones all are kept
	 * @return the servers to choose from
	 */
	public static List<ServerView> healthyUnlessPanic(List<ServerView> servers, Predicate<ServerView> healthy,
			double panicShare) {
		List<ServerView> alive = servers.stream().filter(healthy).toList();
		boolean panic = alive.size() < servers.size() * panicShare;
		return panic ? servers : alive;
	}

	/**
	 * Keeps the servers of the own data centre unless they are full and others are not.
	 * @param servers the servers to choose from
	 * @param spillFullness from this fullness on work spills to other data centres
	 * @return the servers to choose from
	 */
	public static List<ServerView> nearUnlessFull(List<ServerView> servers, double spillFullness) {
		List<ServerView> near = servers.stream().filter(ServerView::sameDataCentre).toList();
		boolean room = near.stream().anyMatch((server) -> server.fullness() <= spillFullness);
		if (room) {
			return near;
		}
		List<ServerView> withRoom = servers.stream().filter((server) -> server.fullness() <= spillFullness).toList();
		if (!withRoom.isEmpty()) {
			return withRoom;
		}
		return near.isEmpty() ? servers : near;
	}

}
