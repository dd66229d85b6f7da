package org.snowwind.gateway.registry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Keeps the registry up to date, and for a while the servers that lapsed while the
 * platform was away. Confined to one thread.
 *
 * <p>
 * A server that could not renew its entry while the platform was away is back in it
 * shortly after the platform's return, so that its absence means nothing before.
 */
public final class RegistryView {

	private final long graceMillis;

	private final Map<String, BackendEntry> registered = new HashMap<>();

	private final Map<String, BackendEntry> lapsed = new HashMap<>();

	private long revision;

	private long graceUntilMillis = Long.MIN_VALUE;

	/**
	 * Creates a view that knows no server.
	 * @param graceMillis how long after the platform's return an absent server is kept,
	 * in milliseconds
	 */
	public RegistryView(long graceMillis) {
		this.graceMillis = graceMillis;
	}

	/**
	 * Takes note that the platform has returned.
	 * @param nowMillis the time, in milliseconds
	 */
	public void platformReturned(long nowMillis) {
		this.graceUntilMillis = nowMillis + this.graceMillis;
	}

	/**
	 * Takes a whole listing.
	 * @param listedRevision its revision
	 * @param servers all registered servers
	 * @param nowMillis the time, in milliseconds
	 */
	public void listed(long listedRevision, List<BackendEntry> servers, long nowMillis) {
		Map<String, BackendEntry> before = new HashMap<>(this.registered);
		this.registered.clear();
		servers.forEach((server) -> this.registered.put(server.id(), server));
		this.lapsed.keySet().removeAll(this.registered.keySet());
		this.revision = Math.max(this.revision, listedRevision);
		before.keySet().removeAll(this.registered.keySet());
		before.values().forEach((server) -> absent(server, nowMillis));
	}

	/**
	 * Takes a changed server.
	 * @param server the server
	 */
	public void changed(BackendEntry server) {
		this.registered.put(server.id(), server);
		this.lapsed.remove(server.id());
	}

	/**
	 * Takes a removed server.
	 * @param id its id
	 * @param nowMillis the time, in milliseconds
	 */
	public void removed(String id, long nowMillis) {
		BackendEntry server = this.registered.remove(id);
		if (server != null) {
			absent(server, nowMillis);
		}
	}

	private void absent(BackendEntry server, long nowMillis) {
		if (nowMillis < this.graceUntilMillis && !server.draining()) {
			this.lapsed.put(server.id(), server);
		}
	}

	/**
	 * Takes note of how far changes are known.
	 * @param knownRevision the platform's revision
	 */
	public void knownUpTo(long knownRevision) {
		this.revision = Math.max(this.revision, knownRevision);
	}

	/**
	 * Tells whether servers are kept that are not registered.
	 * @return true if the registry changes when the grace ends
	 */
	public boolean keepsLapsed() {
		return !this.lapsed.isEmpty();
	}

	/**
	 * Returns the registry.
	 * @param nowMillis the time, in milliseconds
	 * @return the registered servers, and the lapsed ones while the grace lasts
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
