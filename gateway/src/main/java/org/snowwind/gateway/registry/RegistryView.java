package org.snowwind.gateway.registry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.snowwind.model.EraRevision;

/**
 * Keeps the registry up to date. After an outage of the platform it keeps, for a grace
 * period, the servers whose entries have lapsed. Confined to one thread.
 *
 * <p>
 * A server that could not renew its entry during an outage registers again shortly after
 * the platform has recovered. Until then a missing entry does not mean that the server is
 * gone.
 */
public final class RegistryView {

	private final long graceMillis;

	private final Map<String, BackendEntry> registered = new HashMap<>();

	private final Map<String, BackendEntry> lapsed = new HashMap<>();

	private EraRevision revision = EraRevision.NONE;

	private long graceUntilMillis = Long.MIN_VALUE;

	/**
	 * Creates a view without servers.
	 * @param graceMillis the time for which missing servers are kept after the platform
	 * has recovered, in milliseconds
	 */
	public RegistryView(long graceMillis) {
		this.graceMillis = graceMillis;
	}

	/**
	 * Starts the grace period after the platform has recovered from an outage.
	 * @param nowMillis the current time, in milliseconds
	 */
	public void platformRecovered(long nowMillis) {
		this.graceUntilMillis = nowMillis + this.graceMillis;
	}

	/**
	 * Replaces all registered servers by those of a listing.
	 * @param listedRevision the revision of the listing
	 * @param servers all registered servers
	 * @param nowMillis the current time, in milliseconds
	 */
	public void replaceAll(EraRevision listedRevision, List<BackendEntry> servers, long nowMillis) {
		Map<String, BackendEntry> before = new HashMap<>(this.registered);
		this.registered.clear();
		servers.forEach((server) -> this.registered.put(server.id(), server));
		this.lapsed.keySet().removeAll(this.registered.keySet());
		this.revision = EraRevision.newest(this.revision, listedRevision);
		before.keySet().removeAll(this.registered.keySet());
		before.values().forEach((server) -> retainDuringGrace(server, nowMillis));
	}

	/**
	 * Adds or updates a server.
	 * @param server the server
	 */
	public void put(BackendEntry server) {
		this.registered.put(server.id(), server);
		this.lapsed.remove(server.id());
	}

	/**
	 * Removes a server, or keeps it as lapsed during the grace period.
	 * @param id the id of the server
	 * @param nowMillis the current time, in milliseconds
	 */
	public void remove(String id, long nowMillis) {
		BackendEntry server = this.registered.remove(id);
		if (server != null) {
			retainDuringGrace(server, nowMillis);
		}
	}

	private void retainDuringGrace(BackendEntry server, long nowMillis) {
		if (nowMillis < this.graceUntilMillis && !server.draining()) {
			this.lapsed.put(server.id(), server);
		}
	}

	/**
	 * Advances the revision up to which all changes are known.
	 * @param knownRevision the platform's revision
	 */
	public void advanceRevision(EraRevision knownRevision) {
		this.revision = EraRevision.newest(this.revision, knownRevision);
	}

	/**
	 * Returns whether servers are kept that are no longer registered.
	 * @return true if the registry changes at the end of the grace period
	 */
	public boolean hasLapsedServers() {
		return !this.lapsed.isEmpty();
	}

	/**
	 * Returns the registry.
	 * @param nowMillis the current time, in milliseconds
	 * @return the registered servers, and the lapsed ones during the grace period
	 */
	public Registry registry(long nowMillis) {
		if (nowMillis >= this.graceUntilMillis) {
			this.lapsed.clear();
		}
		Map<String, BackendEntry> all = new HashMap<>(this.lapsed);
		all.putAll(this.registered);
		return new Registry(this.revision, all);
	}

}
