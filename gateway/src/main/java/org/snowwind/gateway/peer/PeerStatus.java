package org.snowwind.gateway.peer;

import java.util.Map;
import java.util.Optional;

import org.snowwind.wire.generated.GatewayReport;

/**
 * What is kept of the last report of a peer.
 *
 * @param name the peer's name
 * @param leaving whether the peer is stopping
 * @param storeAway whether the peer does not reach the store
 * @param expertFence the fencing token under which the peer plans expert maps, 0 if it
 * does not plan
 * @param inFlight the peer's in-flight requests by server id
 * @param inFlightBytes what the in-flight requests take, in bytes
 */
record PeerStatus(String name, boolean leaving, boolean storeAway, long expertFence, Map<String, Integer> inFlight,
		long inFlightBytes) {

	/** The maximum length of the name of a gateway or server, in characters. */
	static final int MAX_NAME_LENGTH = 256;

	private static final int ENTRY_BYTES = 64;

	private static final int LOGGED_LENGTH = 64;

	/**
	 * Returns what is kept of a report.
	 * @param report the report
	 * @return its status
	 */
	static PeerStatus of(GatewayReport report) {
		long bytes = report.getInFlight().keySet().stream().mapToLong((id) -> ENTRY_BYTES + id.length()).sum();
		return new PeerStatus(report.getName(), report.isLeaving(), report.isStoreAway(), report.getExpertFence(),
				report.getInFlight(), bytes);
	}

	/**
	 * Returns why a report must not be used.
	 * @param report the report
	 * @return the reason, empty if there is none
	 */
	static Optional<String> faultOf(GatewayReport report) {
		if (report.getName().length() > MAX_NAME_LENGTH) {
			return Optional
				.of("expected a name of at most " + MAX_NAME_LENGTH + " characters, got " + report.getName().length());
		}
		return report.getInFlight()
			.keySet()
			.stream()
			.filter((id) -> id.length() > MAX_NAME_LENGTH)
			.findFirst()
			.map((id) -> "expected server ids of at most " + MAX_NAME_LENGTH + " characters, got " + id.length());
	}

	/**
	 * Abbreviates a text of a peer for the log.
	 * @param text the text
	 * @return its first characters
	 */
	static String abbreviated(String text) {
		return (text.length() > LOGGED_LENGTH) ? text.substring(0, LOGGED_LENGTH) : text;
	}

	PeerStatus withoutInFlight() {
		return new PeerStatus(this.name, this.leaving, this.storeAway, this.expertFence, Map.of(), 0);
	}

}
