package org.snowwind.decide.limit;

import java.util.Set;

import org.snowwind.decide.choice.RendezvousHashing;

/**
 * Divides the requests that a cold server may get in a second among all processes,
 * without messages between them.
 *
 * <p>
 * Handles the return of servers that are cold and empty, to which every process would
 * send at once. A coordinator that grants shares is not used: it grants nothing until the
 * leases of an earlier one have expired, and servers are cold for a shorter time.
 */
public final class ColdShare {

	/** The fraction of the bound that is reserved for processes not yet counted. */
	private static final double RESERVED_FRACTION = 0.15;

	/**
	 * The minimum reserve, in requests: the calls to a rank during a switch of expert
	 * maps, which are not divided.
	 */
	private static final double MIN_RESERVED_REQUESTS = 4;

	private ColdShare() {
	}

	/**
	 * Returns how many requests this process may send to a server in any window.
	 * @param boundRequests how many requests the server may get in a second from all
	 * processes
	 * @param fleet the processes
	 * @param server the server's id
	 * @return a number of requests, 0 if the number of processes is unknown
	 */
	public static int requests(double boundRequests, Fleet fleet, String server) {
		if (fleet.size() <= 0) {
			return 0;
		}
		int usable = (int) Math
			.floor(boundRequests - Math.max(MIN_RESERVED_REQUESTS, RESERVED_FRACTION * boundRequests));
		if (usable <= 0) {
			return 0;
		}
		int equal = usable / fleet.size();
		int remainder = usable % fleet.size();
		// A process that sees only a part of the fleet claims only a part of the
		// remainder.
		int claimed = (int) ((long) remainder * Math.min(fleet.liveCount(), fleet.size()) / fleet.size());
		return equal + (ranksBelow(claimed, fleet, server) ? 1 : 0);
	}

	private static boolean ranksBelow(int count, Fleet fleet, String server) {
		long seedHash = RendezvousHashing.hash(server);
		long ownScore = RendezvousHashing.score(fleet.ownName(), seedHash);
		int better = 0;
		for (String name : fleet.otherLiveNames()) {
			int compared = Long.compareUnsigned(RendezvousHashing.score(name, seedHash), ownScore);
			boolean first = compared > 0 || (compared == 0 && name.compareTo(fleet.ownName()) < 0);
			better += first ? 1 : 0;
		}
		return better < count;
	}

	/**
	 * The processes that may send requests, as one of them knows them.
	 *
	 * @param ownName the name of this process
	 * @param size the number of processes, live or not; 0 if it is unknown
	 * @param otherLiveNames the names of the other live processes
	 */
	public record Fleet(String ownName, int size, Set<String> otherLiveNames) {

		/**
		 * Copies the names.
		 */
		public Fleet {
			otherLiveNames = Set.copyOf(otherLiveNames);
		}

		int liveCount() {
			return this.otherLiveNames.size() + 1;
		}

		boolean isMajorityLive() {
			return this.size > 0 && 2 * liveCount() > this.size;
		}

	}

}
