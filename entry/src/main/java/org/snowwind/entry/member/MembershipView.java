package org.snowwind.entry.member;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.snowwind.wire.generated.DataCentreProgress;

/**
 * What membership knows, for other threads to read.
 *
 * @param relay whether this entry should hold a watch on the platform
 * @param liveEntries how many entries live in all data centres
 * @param dataCentres how far each data centre has come
 * @param agentsBehind the agent here that is furthest behind
 * @param answeringServers the servers that answer this entry
 * @param unobservedServers the servers that others observe in this one's place
 */
public record MembershipView(boolean relay, int liveEntries, List<DataCentreProgress> dataCentres,
		Optional<ServerTable.AgentProgress> agentsBehind, Set<String> answeringServers, Set<String> unobservedServers) {

	/** Nobody else is known. */
	public static final MembershipView ALONE = new MembershipView(true, 1, List.of(), Optional.empty(), Set.of(),
			Set.of());

	MembershipView withServers(Optional<ServerTable.AgentProgress> behind, Set<String> answering,
			Set<String> unobserved) {
		return new MembershipView(this.relay, this.liveEntries, this.dataCentres, behind, answering, unobserved);
	}

	/**
	 * Tells whether a server should answer this entry and does not.
	 * @param server the server's name
	 * @return true if it is silent
	 */
	public boolean silent(String server) {
		return !this.answeringServers.contains(server) && !this.unobservedServers.contains(server);
	}

}
