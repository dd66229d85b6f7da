package org.snowwind.gateway.expert;

import java.util.ArrayList;
import java.util.List;

import org.snowwind.gateway.limit.ServerCalls;
import org.snowwind.gateway.registry.BackendEntry;

/**
 * Chooses a few ranks in turn that are asked for the state of their group. Confined to
 * one thread.
 *
 * <p>
 * All ranks of a group run and fail together, so a few represent all. A state that only
 * one rank has, such as a held pass, is found when it is that rank's turn.
 */
final class RankSample {

	/** The number of ranks in a sample; more than one, since a response may be lost. */
	static final int RANKS = 3;

	private int next;

	/**
	 * Chooses the next ranks. Those that limit their request rate are only chosen if
	 * there are not enough others.
	 * @param group all ranks of the group
	 * @param made the calls that ranks may be sent
	 * @return the sample; smaller if fewer ranks exist or may be asked
	 */
	List<BackendEntry> of(List<BackendEntry> group, ServerCalls made) {
		List<BackendEntry> unlimited = group.stream().filter((member) -> !made.isRestricted(member.id())).toList();
		boolean enough = unlimited.size() >= Math.min(RANKS, group.size());
		return next(enough ? unlimited : group.stream().filter((member) -> made.allows(member.id(), 1)).toList());
	}

	private List<BackendEntry> next(List<BackendEntry> members) {
		List<BackendEntry> chosen = new ArrayList<>();
		for (int i = 0; i < Math.min(RANKS, members.size()); i++) {
			chosen.add(members.get((this.next + i) % members.size()));
		}
		this.next = members.isEmpty() ? 0 : (this.next + RANKS) % members.size();
		return chosen;
	}

}
