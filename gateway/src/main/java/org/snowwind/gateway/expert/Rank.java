package org.snowwind.gateway.expert;

import org.snowwind.gateway.registry.BackendIncarnation;

/**
 * A rank of a group and its last report.
 *
 * @param run the incarnation of the server
 * @param address its address, {@code IP:PORT}
 * @param report the report
 */
record Rank(BackendIncarnation run, String address, RankReport report) {

	String serverId() {
		return this.run.id();
	}

}
