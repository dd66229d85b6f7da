package org.snowwind.entry.member;

import java.util.List;
import java.util.Optional;

import org.snowwind.wire.generated.DataCentreProgress;

/**
 * What membership knows, for other threads to read.
 *
 * @param relay whether this entry should hold a watch on the platform
 * @param liveEntries how many entries live in all data centres
 * @param dataCentres how far each data centre has come
 * @param agentsBehind the agent here that is furthest behind
 * @param namedEntries some entries that live
 */
public record MembershipView(boolean relay, int liveEntries, List<DataCentreProgress> dataCentres,
		Optional<ServerTable.AgentProgress> agentsBehind, List<String> namedEntries) {

	/** Nobody else is known. */
	public static final MembershipView ALONE = new MembershipView(true, 1, List.of(), Optional.empty(), List.of());

	MembershipView withAgentsBehind(Optional<ServerTable.AgentProgress> behind) {
		return new MembershipView(this.relay, this.liveEntries, this.dataCentres, behind, this.namedEntries);
	}

}
