package org.snowwind.gateway.peer;

import java.util.Map;
import java.util.Set;

/**
 * The state of the other gateways as this process sees it.
 *
 * @param fleetSize the estimated number of gateways, including this one and unreachable
 * ones; 0 until a peer or the platform has been heard from
 * @param liveByName the control addresses of the live gateways that are not leaving, by
 * name
 * @param liveAddresses the control addresses of the live gateways
 * @param recentNames the names of the gateways that have reported within the planner's
 * timeout and are not leaving
 * @param plannerFence the highest fencing token under which a gateway that has reported
 * within the planner's timeout plans expert maps, 0 if none does
 * @param confirmingNames the names of the live gateways that are not leaving and reach
 * the store
 */
public record PeerView(int fleetSize, Map<String, String> liveByName, Set<String> liveAddresses,
		Set<String> recentNames, long plannerFence, Set<String> confirmingNames) {

}
