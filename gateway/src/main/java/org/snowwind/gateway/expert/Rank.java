package org.snowwind.gateway.expert;

import org.snowwind.gateway.registry.BackendIncarnation;

/**
 * One rank of a group, as of its last report.
 *
 * @param run which life of the server it is
 * @param address where it listens, {@code IP:PORT}
 * @param report what it says of itself
 */
record Rank(BackendIncarnation run, String address, RankReport report) {

	String serverId() {
		return this.run.id();
	}

}
