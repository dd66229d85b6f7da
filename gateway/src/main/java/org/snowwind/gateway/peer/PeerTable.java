package org.snowwind.gateway.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import org.snowwind.model.event.Event;
import org.snowwind.model.event.EventLog;
import org.snowwind.wire.generated.GatewayReport;

/**
 * What other gateways have told of themselves. Confined to one thread.
 */
public final class PeerTable {

	/** After this time without a word a peer counts as dead, in milliseconds. */
	private static final long SILENCE_MILLIS = 1500;

	/** After this time without a word a peer is forgotten, in milliseconds. */
	private static final long FORGET_MILLIS = 30_000;

	/** After this age a report says nothing of a peer's requests, in milliseconds. */
	private static final long LOAD_LIFE_MILLIS = 2000;

	private final String ownAddress;

	private final Map<String, Peer> byAddress = new LinkedHashMap<>();

	/**
	 * Creates a table without peers.
	 * @param ownAddress the own control address
	 */
	public PeerTable(String ownAddress) {
		this.ownAddress = ownAddress;
	}

	/**
	 * Takes note of an address at which a peer may be.
	 * @param address its control address
	 * @param nowMillis the time, in milliseconds
	 */
	public void mayBeAt(String address, long nowMillis) {
		if (!address.equals(this.ownAddress)) {
			this.byAddress.computeIfAbsent(address, (key) -> new Peer(nowMillis));
		}
	}

	/**
	 * Takes a peer's report.
	 * @param report the report
	 * @param nowMillis the time, in milliseconds
	 */
	public void heard(GatewayReport report, long nowMillis) {
		mayBeAt(report.getControlAddress(), nowMillis);
		report.getKnownGateways().forEach((address) -> mayBeAt(address, nowMillis));
		Peer peer = this.byAddress.get(report.getControlAddress());
		if (peer == null) {
			return;
		}
		if (!peer.alive) {
			EventLog.log(Event.PEER_TRUSTED, "peer", report.getName(), "address", report.getControlAddress());
		}
		peer.alive = true;
		peer.report = report;
		peer.heardMillis = nowMillis;
	}

	/**
	 * Suspects silent peers and forgets those that have been silent for long.
	 * @param nowMillis the time, in milliseconds
	 */
	public void age(long nowMillis) {
		this.byAddress.values().forEach((peer) -> suspectIfSilent(peer, nowMillis));
		this.byAddress.values().removeIf((peer) -> nowMillis - peer.heardMillis > FORGET_MILLIS);
	}

	private static void suspectIfSilent(Peer peer, long nowMillis) {
		long silentMillis = nowMillis - peer.heardMillis;
		if (peer.alive && silentMillis > SILENCE_MILLIS) {
			peer.alive = false;
			EventLog.log(Event.PEER_SUSPECTED, "peer", peer.report.getName(), "silentMillis", silentMillis);
		}
	}

	/**
	 * Lists where peers are or may be.
	 * @return control addresses
	 */
	public List<String> addresses() {
		return List.copyOf(this.byAddress.keySet());
	}

	/**
	 * Lists where live peers are.
	 * @return control addresses
	 */
	public List<String> liveAddresses() {
		List<String> live = new ArrayList<>();
		this.byAddress.forEach((address, peer) -> {
			if (peer.alive) {
				live.add(address);
			}
		});
		return live;
	}

	/**
	 * Counts the peers that exist, those out of reach included.
	 * @return how many peers were heard of in the last half minute
	 */
	public int known() {
		return this.byAddress.size();
	}

	/**
	 * Lists the live peers that do not leave.
	 * @return their names, in order
	 */
	public Set<String> liveNames() {
		Set<String> names = new TreeSet<>();
		this.byAddress.values().forEach((peer) -> {
			if (peer.alive && !peer.report.isLeaving()) {
				names.add(peer.report.getName());
			}
		});
		return names;
	}

	/**
	 * Tells whether a live peer plans expert maps.
	 * @return true if one does
	 */
	public boolean expertsPlanned() {
		return this.byAddress.values().stream().anyMatch((peer) -> peer.alive && peer.report.getExpertFence() != 0);
	}

	/**
	 * Adds up the requests that peers have at each server.
	 * @param nowMillis the time, in milliseconds
	 * @return numbers of requests by server id
	 */
	public Map<String, Integer> inFlight(long nowMillis) {
		Map<String, Integer> sums = new HashMap<>();
		for (Peer peer : this.byAddress.values()) {
			if (peer.report != null && nowMillis - peer.heardMillis < LOAD_LIFE_MILLIS) {
				peer.report.getInFlight().forEach((server, requests) -> sums.merge(server, requests, Integer::sum));
			}
		}
		return sums;
	}

	/**
	 * One peer.
	 */
	private static final class Peer {

		private long heardMillis;

		private boolean alive;

		private GatewayReport report;

		private Peer(long firstHeardOfMillis) {
			this.heardMillis = firstHeardOfMillis;
		}

	}

}
