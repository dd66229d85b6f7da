package org.snowwind.gateway.backend;

import java.util.LinkedHashMap;
import java.util.Map;

import org.snowwind.gateway.registry.BackendRun;

/**
 * The notices of servers that are no longer registered. Confined to the loop.
 *
 * <p>
 * An entry lapses while its server cannot reach the registry, and returns; what the
 * incarnation has announced holds all the while.
 */
final class RemovedNotices {

	/** The latest so many are kept. */
	private static final int MOST = 1024;

	private final Map<String, Removed> byId = new LinkedHashMap<>() {

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Removed> eldest) {
			return size() > MOST;
		}

	};

	/**
	 * Keeps the notices of a server whose entry was removed.
	 * @param run its incarnation as it was registered last
	 * @param notices its notices
	 */
	void keep(BackendRun run, BackendNotices notices) {
		this.byId.put(run.id(), new Removed(run, notices));
	}

	/**
	 * Takes the notices of a server that is registered.
	 * @param run its incarnation
	 * @return what this incarnation had announced before its entry was removed, new
	 * notices if that is not known
	 */
	BackendNotices take(BackendRun run) {
		Removed removed = this.byId.remove(run.id());
		return (removed != null && removed.run().mayBe(run)) ? removed.notices() : new BackendNotices(run);
	}

	private record Removed(BackendRun run, BackendNotices notices) {

	}

}
