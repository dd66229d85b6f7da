package org.snowwind.gateway.backend;

import java.util.LinkedHashMap;
import java.util.Map;

import org.snowwind.gateway.registry.BackendIncarnation;

/**
 * The notices of servers that are no longer registered. Confined to the event loop.
 *
 * <p>
 * The entry of a server expires while the server cannot reach the registry and is written
 * again later. The announcements of its incarnation stay valid in the meantime.
 */
final class RemovedNotices {

	/** The maximum number of servers whose notices are kept; the oldest are dropped. */
	private static final int MAX_ENTRIES = 1024;

	private final ColdServers coldServers;

	private final Map<String, Removed> byId = new LinkedHashMap<>() {

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Removed> eldest) {
			return size() > MAX_ENTRIES;
		}

	};

	/**
	 * Creates an empty instance.
	 * @param coldServers what cold servers have in common
	 */
	RemovedNotices(ColdServers coldServers) {
		this.coldServers = coldServers;
	}

	/**
	 * Keeps the notices of a server whose entry was removed.
	 * @param run the incarnation in its last entry
	 * @param notices its notices
	 */
	void keep(BackendIncarnation run, BackendNotices notices) {
		this.byId.put(run.id(), new Removed(run, notices));
	}

	/**
	 * Removes and returns the notices of a server that is registered.
	 * @param run its incarnation
	 * @return the notices of this incarnation from before its entry was removed, or new
	 * notices if there are none
	 */
	BackendNotices take(BackendIncarnation run) {
		Removed removed = this.byId.remove(run.id());
		return (removed != null && removed.run().mayEqual(run)) ? removed.notices()
				: new BackendNotices(run, this.coldServers);
	}

	private record Removed(BackendIncarnation run, BackendNotices notices) {

	}

}
