package org.snowwind.gateway.registry;

import java.util.Comparator;
import java.util.List;
import java.util.Map;

/**
 * All backend servers as of one revision of the platform.
 *
 * @param revision the platform's revision
 * @param servers the servers by id
 */
public record Registry(long revision, Map<String, BackendEntry> servers) {

	/** What is known at first: nothing. */
	public static final Registry NONE = new Registry(0, Map.of());

	/**
	 * Copies the servers.
	 */
	public Registry {
		servers = Map.copyOf(servers);
	}

	/**
	 * Lists the servers.
	 * @return the servers in the order of their ids, so that equal draws choose alike
	 */
	public List<BackendEntry> list() {
		return this.servers.values().stream().sorted(Comparator.comparing(BackendEntry::id)).toList();
	}

}
