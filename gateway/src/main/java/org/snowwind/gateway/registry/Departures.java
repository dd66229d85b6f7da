package org.snowwind.gateway.registry;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

import org.snowwind.model.event.Event;
import org.snowwind.model.event.EventLog;

/**
 * Remembers which incarnations of servers were seen leaving, so that an older entry does
 * not return them to service. Not thread-safe.
 *
 * <p>
 * An incarnation that was seen draining does not become ready again. One whose entry was
 * removed may register again, for it may only have been unable to renew its entry. But in
 * a store that was restored from an older copy, its entry may be the old one. It then
 * expires like that of any server that has ended.
 */
final class Departures {

	/** The maximum number of servers that are remembered; the oldest are dropped. */
	static final int MAX_ENTRIES = 1024;

	/**
	 * The time after which an entry in a restored store is that of a live server, in
	 * milliseconds. Entries expire after three heartbeats.
	 */
	static final long UNVERIFIED_MILLIS = 10_000;

	private final Map<String, Departure> byId = new LinkedHashMap<>() {

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Departure> eldest) {
			return size() > MAX_ENTRIES;
		}

	};

	/** The ids of the servers that are draining here and ready by their entry. */
	private Set<String> olderEntries = Set.of();

	private long unverifiedUntilMillis = Long.MIN_VALUE;

	/**
	 * Records the departures in a registry, and corrects entries that are older than a
	 * departure.
	 * @param before the previous registry
	 * @param next the registry
	 * @param nowMillis the current time, in milliseconds
	 * @return the registry, in which servers that were seen leaving are draining
	 */
	Registry apply(Registry before, Registry next, long nowMillis) {
		boolean restored = before.revision().number() > 0 && next.revision().era() > before.revision().era();
		if (restored) {
			this.unverifiedUntilMillis = nowMillis + UNVERIFIED_MILLIS;
		}
		recordRemoved(before, next);
		next.servers().values().forEach((server) -> recordRegistered(server, next.revision().era(), nowMillis));
		Map<String, BackendEntry> servers = new HashMap<>(next.servers());
		servers.replaceAll((id, server) -> this.byId.containsKey(id) ? server.asDraining() : server);
		logOlderEntries(next, servers);
		return new Registry(next.revision(), servers);
	}

	private void recordRemoved(Registry before, Registry next) {
		for (BackendEntry server : before.servers().values()) {
			if (!next.servers().containsKey(server.id())) {
				this.byId.put(server.id(), new Departure(server.incarnation(), next.revision().era()));
			}
		}
	}

	private void recordRegistered(BackendEntry server, long era, long nowMillis) {
		if (server.draining()) {
			this.byId.put(server.id(), new Departure(server.incarnation(), Departure.REGISTERED));
			return;
		}
		Departure departure = this.byId.get(server.id());
		if (departure != null && hasReturned(server, departure, era, nowMillis)) {
			this.byId.remove(server.id());
		}
	}

	private boolean hasReturned(BackendEntry server, Departure departure, long era, long nowMillis) {
		boolean removed = departure.removedEra() != Departure.REGISTERED;
		boolean verified = departure.removedEra() == era || nowMillis >= this.unverifiedUntilMillis;
		return (removed && verified) || !departure.incarnation().mayEqual(server.incarnation());
	}

	/**
	 * Returns whether entries are corrected, so that the registry may change with time.
	 * @return true if a server is kept draining that its entry does not show as draining
	 */
	boolean correctsEntries() {
		return !this.olderEntries.isEmpty();
	}

	private void logOlderEntries(Registry next, Map<String, BackendEntry> corrected) {
		Set<String> older = new HashSet<>();
		corrected.forEach((id, server) -> {
			if (server.draining() && !next.servers().get(id).draining()) {
				older.add(id);
				if (!this.olderEntries.contains(id)) {
					EventLog.log(Event.SERVER_OLDER_ENTRY, "server", id, "bornMillis", server.bornMillis(), "registry",
							next.revision());
				}
			}
		});
		this.olderEntries = older;
	}

	/**
	 * A departure.
	 *
	 * @param incarnation the incarnation that was seen leaving
	 * @param removedEra the era of the store in which its entry was removed,
	 * {@link #REGISTERED} if it was not
	 */
	private record Departure(BackendIncarnation incarnation, long removedEra) {

		private static final long REGISTERED = -1;

	}

}
