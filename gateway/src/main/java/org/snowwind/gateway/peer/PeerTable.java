package org.snowwind.gateway.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.snowwind.model.event.Event;
import org.snowwind.model.event.EventLog;
import org.snowwind.wire.generated.GatewayReport;

/**
 * What other gateways have told of themselves. Confined to one thread.
 */
public final class PeerTable {

	/** After this time without a word a peer counts as dead at least, in milliseconds. */
	private static final long SILENCE_MILLIS = 1500;

	/** The same in periods between reports, where these are long. */
	private static final int SILENCE_PERIODS = 3;

	/**
	 * After this time without a word from whoever plans expert maps another one does, in
	 * milliseconds: a group that it has left held stands still until then, and two that
	 * plan mix no maps, and the older one stops.
	 */
	private static final long PLANNER_SILENCE_MILLIS = 600;

	/** The same in periods between reports, so that one may be lost. */
	private static final double PLANNER_SILENCE_PERIODS = 2.5;

	/**
	 * After so many periods without a word a peer that should call is called all the
	 * same: it may not know of this process, or its way may be cut.
	 */
	private static final double CALL_PERIODS = 1.7;

	/**
	 * A process that did not look at its peers for so long stood still itself, in
	 * milliseconds: their silence says nothing then. A gateway that had been frozen for
	 * 3.7 s took the planner's silence for its end, and the two dropped 24 of each
	 * other's maps in the 13 s that followed.
	 */
	private static final long OWN_STALL_MILLIS = 400;

	/** After this time without a word a peer is forgotten, in milliseconds. */
	private static final long FORGET_MILLIS = 30_000;

	/**
	 * A peer that exists reports within this time of being heard of, in milliseconds; one
	 * that does not is dead or cut off.
	 */
	private static final long UNHEARD_MILLIS = 2000;

	/** Up to this age at least a report tells a peer's requests, in milliseconds. */
	private static final long LOAD_LIFE_MILLIS = 2000;

	private final String ownAddress;

	private long silenceMillis = SILENCE_MILLIS;

	private long plannerSilenceMillis = PLANNER_SILENCE_MILLIS;

	private final Map<String, Peer> byAddress = new LinkedHashMap<>();

	private long agedMillis = Long.MIN_VALUE;

	/**
	 * Creates a table without peers.
	 * @param ownAddress the own control address
	 */
	public PeerTable(String ownAddress) {
		this.ownAddress = ownAddress;
	}

	/**
	 * Returns the own control address.
	 * @return the address
	 */
	String ownAddress() {
		return this.ownAddress;
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
	 * @param periodMillis how often peers report, in milliseconds
	 */
	public void age(long nowMillis, long periodMillis) {
		this.silenceMillis = Math.max(SILENCE_MILLIS, SILENCE_PERIODS * periodMillis);
		this.plannerSilenceMillis = Math.max(PLANNER_SILENCE_MILLIS, (long) (PLANNER_SILENCE_PERIODS * periodMillis));
		forgiveOwnStall(nowMillis, periodMillis);
		this.byAddress.values().forEach((peer) -> suspectIfSilent(peer, nowMillis));
		this.byAddress.values().removeIf((peer) -> nowMillis - peer.heardMillis > FORGET_MILLIS);
	}

	// Time in which this process stood still does not count as silence of others.
	private void forgiveOwnStall(long nowMillis, long periodMillis) {
		long stalledMillis = (this.agedMillis != Long.MIN_VALUE) ? nowMillis - this.agedMillis - periodMillis : 0;
		this.agedMillis = nowMillis;
		if (stalledMillis < OWN_STALL_MILLIS) {
			return;
		}
		EventLog.log(Event.OWN_STALL, "stalledMillis", stalledMillis, "peers", this.byAddress.size());
		this.byAddress.values()
			.forEach((peer) -> peer.heardMillis = Math.min(nowMillis, peer.heardMillis + stalledMillis));
	}

	private void suspectIfSilent(Peer peer, long nowMillis) {
		long silentMillis = nowMillis - peer.heardMillis;
		if (peer.alive && silentMillis > this.silenceMillis) {
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
	 * Tells whether this process calls a peer in this round. One call brings word both
	 * ways, so that of two that hear each other only one calls, the first by address:
	 * half of the bytes between data centres that reports cost.
	 * @param address the peer's control address
	 * @param nowMillis the time, in milliseconds
	 * @param periodMillis how often peers report, in milliseconds
	 * @return whether to call it
	 */
	public boolean calls(String address, long nowMillis, long periodMillis) {
		Peer peer = this.byAddress.get(address);
		return peer == null || peer.report == null || this.ownAddress.compareTo(address) < 0
				|| nowMillis - peer.heardMillis > CALL_PERIODS * periodMillis;
	}

	/**
	 * Counts the peers that exist, those out of reach included.
	 * @return how many peers were heard of in the last half minute
	 */
	public int known() {
		return this.byAddress.size();
	}

	/**
	 * Tells how much of all requests the reports cover, as long as peers that were just
	 * heard of have not reported yet.
	 * @param nowMillis the time, in milliseconds
	 * @return by how much to multiply what is known, 1 or more
	 */
	public double unheardFactor(long nowMillis) {
		long heard = this.byAddress.values().stream().filter((peer) -> peer.report != null).count();
		long unheard = this.byAddress.values()
			.stream()
			.filter((peer) -> peer.report == null && nowMillis - peer.heardMillis < UNHEARD_MILLIS)
			.count();
		return (heard + 1.0 + unheard) / (heard + 1.0);
	}

	/**
	 * Lists the live peers that do not leave.
	 * @return their control addresses by their names, in order of these
	 */
	public SortedMap<String, String> liveByName() {
		SortedMap<String, String> live = new TreeMap<>();
		this.byAddress.forEach((address, peer) -> {
			if (peer.alive && !peer.report.isLeaving()) {
				live.put(peer.report.getName(), address);
			}
		});
		return live;
	}

	/**
	 * Lists the live peers that can confirm copies for others.
	 * @return the names of those that do not leave and reach the store
	 */
	public Set<String> confirmingNames() {
		return this.byAddress.values()
			.stream()
			.filter((peer) -> peer.alive && !peer.report.isLeaving() && !peer.report.isStoreAway())
			.map((peer) -> peer.report.getName())
			.collect(Collectors.toSet());
	}

	/**
	 * Lists the live peers that do not leave.
	 * @return their names, in order
	 */
	public Set<String> liveNames() {
		return liveByName().keySet();
	}

	/**
	 * Tells the newest fencing token with which a peer plans expert maps.
	 * @param nowMillis the time, in milliseconds
	 * @return the highest token that was heard a moment ago, 0 if no peer plans
	 */
	public long plannerFence(long nowMillis) {
		return prompt(nowMillis).mapToLong((peer) -> peer.report.getExpertFence()).max().orElse(0);
	}

	/**
	 * Lists the peers that may plan expert maps.
	 * @param nowMillis the time, in milliseconds
	 * @return the names of those that were heard a moment ago and do not leave, in order
	 */
	public Set<String> promptNames(long nowMillis) {
		return prompt(nowMillis).filter((peer) -> !peer.report.isLeaving())
			.map((peer) -> peer.report.getName())
			.collect(Collectors.toCollection(TreeSet::new));
	}

	private Stream<Peer> prompt(long nowMillis) {
		return this.byAddress.values()
			.stream()
			.filter((peer) -> peer.alive && nowMillis - peer.heardMillis <= this.plannerSilenceMillis);
	}

	/**
	 * Adds up the requests that peers have at each server.
	 * @param nowMillis the time, in milliseconds
	 * @return numbers of requests by server id
	 */
	public Map<String, Integer> inFlight(long nowMillis) {
		Map<String, Integer> sums = new HashMap<>();
		long loadLifeMillis = Math.max(LOAD_LIFE_MILLIS, this.silenceMillis);
		for (Peer peer : this.byAddress.values()) {
			if (peer.report != null && nowMillis - peer.heardMillis < loadLifeMillis) {
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
