package org.snowwind.gateway.expert;

import java.util.Set;

/**
 * Decides whether this gateway should plan expert maps.
 *
 * <p>
 * A planner keeps the duty until it learns of a newer planner. Ranks of some platforms
 * also accept orders of an older planner, so the fencing token alone does not stop it.
 *
 * @param ownFence the fencing token of this gateway, 0 while it does not plan
 */
public record PlannerClaim(long ownFence) {

	/**
	 * Decides by the reports of peers.
	 * @param plannerFence the newest fencing token of a peer that plans, 0 for none
	 * @param promptPeers the names of peers that reported recently and are not leaving
	 * @param ownName the name of this gateway
	 * @return whether to keep or claim the duty
	 */
	public boolean stands(long plannerFence, Set<String> promptPeers, String ownName) {
		if (this.ownFence != 0) {
			return plannerFence <= this.ownFence;
		}
		return plannerFence == 0 && promptPeers.stream().noneMatch((peer) -> peer.compareTo(ownName) < 0);
	}

}
