package org.snowwind.gateway.peer;

import java.util.List;
import java.util.Map;

import org.snowwind.gateway.backend.SharedLimits;
import org.snowwind.wire.generated.GatewayReport;

/**
 * Receives what peers report.
 */
public interface PeerConsumers {

	/**
	 * Returns whether the platform's store does not answer this process.
	 * @return true if the store is unavailable
	 */
	boolean isStoreUnavailable();

	/**
	 * Called when a peer has reported the version of the route table that it has in
	 * force.
	 * @param version the version
	 * @param peer the peer's control address
	 */
	void tableVersionReported(long version, String peer);

	/**
	 * Called when the in-flight requests of the peers may have changed.
	 * @param inFlight the numbers of in-flight requests of all peers by server id
	 * @param unreportedFactor the factor by which the in-flight requests of all peers may
	 * exceed those of the peers that have reported, 1 or more
	 */
	void peersChanged(Map<String, Integer> inFlight, double unreportedFactor);

	/**
	 * Called when a peer has relayed the limits that servers reported.
	 * @param words the reported limits, with times by the own clock
	 */
	void limitsReported(List<SharedLimits.LimitAnnouncement> words);

	/**
	 * Called with each report of a peer.
	 * @param report the report
	 */
	void reported(GatewayReport report);

}
