package org.snowwind.gateway.expert;

import java.util.Set;

/**
 * Decides whether this gateway should plan expert maps.
 *
 * <p>
 * Whoever plans keeps the duty until a newer planner is heard of. Ranks of some platforms
 * take the orders of an older planner too, so that its fencing token alone does not stop
 * it.
 *
 * @param ownFence the fencing token of this gateway, 0 while it does not plan
 */
public record PlannerClaim(long ownFence) {

	/**
	 * Decides by what peers have told.
	 * @param plannerFence the newest fencing token with which a peer plans, 0 for none
	 * @param promptPeers the names of peers that were heard a moment ago and do not leave
	 * @param ownName the own name
	 * @return whether to keep the duty or to claim it
	 */
	public boolean stands(long plannerFence, Set<String> promptPeers, String ownName) {
		if (this.ownFence != 0) {
			return plannerFence <= this.ownFence;
		}
		return plannerFence == 0 && promptPeers.stream().noneMatch((peer) -> peer.compareTo(ownName) < 0);
	}

}
