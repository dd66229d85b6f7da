package org.snowwind.gateway.registry;

import java.util.Comparator;
import java.util.List;
import java.util.Map;

import org.snowwind.model.EraRevision;

/**
 * The registered backend servers as of one revision of the platform.
 *
 * @param revision the platform's revision
 * @param servers the servers by id
 */
public record Registry(EraRevision revision, Map<String, BackendEntry> servers) {

	/** The empty registry that is in use until the first listing. */
	public static final Registry NONE = new Registry(EraRevision.NONE, Map.of());

	/**
	 * Copies the servers.
	 */
	public Registry {
		servers = Map.copyOf(servers);
	}

	/**
	 * Lists the servers.
	 * @return the servers sorted by id, so that equal random numbers choose the same
	 * server
	 */
	public List<BackendEntry> list() {
		return this.servers.values().stream().sorted(Comparator.comparing(BackendEntry::id)).toList();
	}

}
