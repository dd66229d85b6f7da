package org.snowwind.gateway.peer;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.snowwind.config.settings.Addresses;
import org.snowwind.model.event.Event;
import org.snowwind.model.event.EventLog;
import org.snowwind.wire.generated.GatewayReport;

/**
 * The latest reports of the other gateways. Confined to one thread.
 */
public final class PeerTable {

	/**
	 * The minimum time without a report after which a peer is suspected to be dead, in
	 * milliseconds.
	 */
	private static final long MIN_SILENCE_MILLIS = 1500;

	/**
	 * The same timeout in reporting periods, which applies where the periods are long.
	 */
	private static final int SILENCE_PERIODS = 3;

	/**
	 * The minimum time without a report from the planner of expert maps after which
	 * another gateway takes over, in milliseconds. It is short because a group that the
	 * planner has left on hold does not run until then. A wrong takeover is safe: two
	 * concurrent planners do not mix their maps, and the older one stops.
	 */
	private static final long MIN_PLANNER_SILENCE_MILLIS = 600;

	/** The same timeout in reporting periods; it allows for the loss of one report. */
	private static final double PLANNER_SILENCE_PERIODS = 2.5;

	/**
	 * After this number of periods without a report, a peer is called although it should
	 * call this process: it may not know of this process, or its calls may not get
	 * through.
	 */
	private static final double MISSED_CALL_PERIODS = 1.7;

	/**
	 * The minimum delay of a check of the peers that counts as a stall of this process,
	 * in milliseconds. The silence of peers during a stall does not show that they are
	 * dead. Otherwise a gateway that was frozen considers the planner dead, and the two
	 * drop each other's maps. Stalls in series add up, so that short ones count too.
	 */
	private static final long MIN_OWN_STALL_MILLIS = 100;

	/** The minimum length of a stall that is logged, in milliseconds. */
	private static final long MIN_LOGGED_STALL_MILLIS = 400;

	/** The time without a report after which a peer is removed, in milliseconds. */
	private static final long FORGET_MILLIS = 30_000;

	/**
	 * A live, reachable peer reports within this time after its address became known, in
	 * milliseconds. A peer that does not is dead or unreachable.
	 */
	private static final long FIRST_REPORT_TIMEOUT_MILLIS = 2000;

	/**
	 * The in-flight requests in a report count at least until the report has this age, in
	 * milliseconds.
	 */
	private static final long MIN_LOAD_VALIDITY_MILLIS = 2000;

	/** The maximum number of known peers, several times that of the largest fleet. */
	static final int MAX_PEERS = 1024;

	/**
	 * The maximum of what the in-flight requests in the reports of all peers take, in
	 * bytes.
	 */
	static final long MAX_IN_FLIGHT_BYTES = 8 << 20;

	/** The minimum time between two log lines on refused reports, in milliseconds. */
	private static final long REFUSAL_LOG_MILLIS = 10_000;

	private final String ownAddress;

	private long nextRefusalLogMillis = Long.MIN_VALUE;

	private long silenceMillis = MIN_SILENCE_MILLIS;

	private long plannerSilenceMillis = MIN_PLANNER_SILENCE_MILLIS;

	private final Map<String, Peer> byAddress = new LinkedHashMap<>();

	private long lastCheckMillis = Long.MIN_VALUE;

	/**
	 * Creates a table without peers.
	 * @param ownAddress the control address of this gateway
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
	 * Adds an address at which there may be a peer. What is no address is ignored, and so
	 * is one more than the maximum number of peers.
	 * @param address the control address
	 * @param nowMillis the current time, in milliseconds
	 */
	public void addCandidate(String address, long nowMillis) {
		boolean isNew = !address.equals(this.ownAddress) && !this.byAddress.containsKey(address);
		if (isNew && this.byAddress.size() < MAX_PEERS && Addresses.parse(address).isPresent()) {
			this.byAddress.put(address, new Peer(nowMillis));
		}
	}

	/**
	 * Applies the report of a peer. A report from one more than the maximum number of
	 * peers replaces a peer that is not live.
	 * @param report the report
	 * @param nowMillis the current time, in milliseconds
	 * @return false if the report is refused and nothing in it may be used
	 */
	public boolean acceptReport(GatewayReport report, long nowMillis) {
		String address = report.getControlAddress();
		Optional<String> fault = PeerStatus.faultOf(report);
		if (fault.isPresent()) {
			logRefusal(address, fault.get(), nowMillis);
			return false;
		}
		if (address.equals(this.ownAddress)) {
			report.getKnownGateways().forEach((known) -> addCandidate(known, nowMillis));
			return true;
		}
		if (!this.byAddress.containsKey(address) && this.byAddress.size() >= MAX_PEERS) {
			removeLongestSilent();
		}
		addCandidate(address, nowMillis);
		Peer peer = this.byAddress.get(address);
		if (peer == null) {
			logRefusal(address, "there are " + MAX_PEERS + " live peers", nowMillis);
			return false;
		}
		report.getKnownGateways().forEach((known) -> addCandidate(known, nowMillis));
		if (!peer.alive) {
			EventLog.log(Event.PEER_TRUSTED, "peer", report.getName(), "address", report.getControlAddress());
		}
		peer.alive = true;
		peer.report = PeerStatus.of(report);
		peer.lastHeardMillis = nowMillis;
		boundInFlight(nowMillis);
		return true;
	}

	private void removeLongestSilent() {
		this.byAddress.entrySet()
			.stream()
			.filter((entry) -> !entry.getValue().alive)
			.min(Comparator.comparingLong((entry) -> entry.getValue().lastHeardMillis))
			.map(Map.Entry::getKey)
			.ifPresent(this.byAddress::remove);
	}

	private void boundInFlight(long nowMillis) {
		long sumBytes = this.byAddress.values().stream().mapToLong(Peer::inFlightBytes).sum();
		while (sumBytes > MAX_IN_FLIGHT_BYTES) {
			Map.Entry<String, Peer> fullest = Collections.max(this.byAddress.entrySet(),
					Comparator.comparingLong((entry) -> entry.getValue().inFlightBytes()));
			sumBytes -= fullest.getValue().inFlightBytes();
			fullest.getValue().report = fullest.getValue().report.withoutInFlight();
			logRefusal(fullest.getKey(), "in-flight requests take more than " + MAX_IN_FLIGHT_BYTES + " bytes",
					nowMillis);
		}
	}

	private void logRefusal(String address, String reason, long nowMillis) {
		if (nowMillis < this.nextRefusalLogMillis) {
			return;
		}
		this.nextRefusalLogMillis = nowMillis + REFUSAL_LOG_MILLIS;
		EventLog.log(Event.PEER_REPORT_REFUSED, "address", PeerStatus.abbreviated(address), "reason", reason);
	}

	/**
	 * Marks silent peers as suspected and removes those that have been silent for long.
	 * @param nowMillis the current time, in milliseconds
	 * @param periodMillis the period between reports, in milliseconds
	 */
	public void expireSilent(long nowMillis, long periodMillis) {
		this.silenceMillis = Math.max(MIN_SILENCE_MILLIS, SILENCE_PERIODS * periodMillis);
		this.plannerSilenceMillis = Math.max(MIN_PLANNER_SILENCE_MILLIS,
				(long) (PLANNER_SILENCE_PERIODS * periodMillis));
		excludeOwnStall(nowMillis, periodMillis);
		this.byAddress.values().forEach((peer) -> suspectIfSilent(peer, nowMillis));
		this.byAddress.values().removeIf((peer) -> nowMillis - peer.lastHeardMillis > FORGET_MILLIS);
	}

	// The time during which this process was stalled does not count as silence of peers.
	private void excludeOwnStall(long nowMillis, long periodMillis) {
		long stalledMillis = (this.lastCheckMillis != Long.MIN_VALUE) ? nowMillis - this.lastCheckMillis - periodMillis
				: 0;
		this.lastCheckMillis = nowMillis;
		if (stalledMillis < MIN_OWN_STALL_MILLIS) {
			return;
		}
		if (stalledMillis >= MIN_LOGGED_STALL_MILLIS) {
			EventLog.log(Event.OWN_STALL, "stalledMillis", stalledMillis, "peers", this.byAddress.size());
		}
		this.byAddress.values()
			.forEach((peer) -> peer.lastHeardMillis = Math.min(nowMillis, peer.lastHeardMillis + stalledMillis));
	}

	private void suspectIfSilent(Peer peer, long nowMillis) {
		long silentMillis = nowMillis - peer.lastHeardMillis;
		if (peer.alive && silentMillis > this.silenceMillis) {
			peer.alive = false;
			EventLog.log(Event.PEER_SUSPECTED, "peer", peer.report.name(), "silentMillis", silentMillis);
		}
	}

	/**
	 * Returns the addresses of all known peers, live or not.
	 * @return control addresses
	 */
	public List<String> addresses() {
		return List.copyOf(this.byAddress.keySet());
	}

	/**
	 * Returns the addresses of the live peers.
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
	 * Returns whether this process calls a peer in this round. A call carries reports in
	 * both directions, so of two gateways that receive each other's reports only the one
	 * with the lower address calls. This halves the bytes that reports cost between data
	 * centres.
	 * @param address the peer's control address
	 * @param nowMillis the current time, in milliseconds
	 * @param periodMillis the period between reports, in milliseconds
	 * @return true if this process calls the peer
	 */
	public boolean shouldCall(String address, long nowMillis, long periodMillis) {
		Peer peer = this.byAddress.get(address);
		return peer == null || peer.report == null || this.ownAddress.compareTo(address) < 0
				|| nowMillis - peer.lastHeardMillis > MISSED_CALL_PERIODS * periodMillis;
	}

	/**
	 * Returns the number of known peers, including unreachable ones.
	 * @return the number of peers that reported or became known within the last half
	 * minute
	 */
	public int knownCount() {
		return this.byAddress.size();
	}

	/**
	 * Returns the factor that extrapolates the in-flight requests of peers that have
	 * reported to those that became known recently and have not reported yet.
	 * @param nowMillis the current time, in milliseconds
	 * @return the factor for the known requests, 1 or more
	 */
	public double unreportedFactor(long nowMillis) {
		long reported = this.byAddress.values().stream().filter((peer) -> peer.report != null).count();
		long unreported = this.byAddress.values()
			.stream()
			.filter((peer) -> peer.report == null && nowMillis - peer.lastHeardMillis < FIRST_REPORT_TIMEOUT_MILLIS)
			.count();
		return (reported + 1.0 + unreported) / (reported + 1.0);
	}

	/**
	 * Returns the live peers that are not leaving.
	 * @return their control addresses by name, sorted by name
	 */
	public SortedMap<String, String> liveByName() {
		SortedMap<String, String> live = new TreeMap<>();
		this.byAddress.forEach((address, peer) -> {
			if (peer.alive && !peer.report.leaving()) {
				live.put(peer.report.name(), address);
			}
		});
		return live;
	}

	/**
	 * Returns the live peers that can confirm copies for others.
	 * @return the names of the peers that are not leaving and reach the store
	 */
	public Set<String> confirmingNames() {
		return this.byAddress.values()
			.stream()
			.filter((peer) -> peer.alive && !peer.report.leaving() && !peer.report.storeAway())
			.map((peer) -> peer.report.name())
			.collect(Collectors.toSet());
	}

	/**
	 * Returns the names of the live peers that are not leaving.
	 * @return the names, sorted
	 */
	public Set<String> liveNames() {
		return liveByName().keySet();
	}

	/**
	 * Returns the newest fencing token under which a peer plans expert maps.
	 * @param nowMillis the current time, in milliseconds
	 * @return the highest token that was reported within the planner's timeout, 0 if no
	 * peer plans
	 */
	public long plannerFence(long nowMillis) {
		return recentPeers(nowMillis).mapToLong((peer) -> peer.report.expertFence()).max().orElse(0);
	}

	/**
	 * Returns the peers that may plan expert maps.
	 * @param nowMillis the current time, in milliseconds
	 * @return the names of the peers that have reported within the planner's timeout and
	 * are not leaving, sorted
	 */
	public Set<String> recentNames(long nowMillis) {
		return recentPeers(nowMillis).filter((peer) -> !peer.report.leaving())
			.map((peer) -> peer.report.name())
			.collect(Collectors.toCollection(TreeSet::new));
	}

	private Stream<Peer> recentPeers(long nowMillis) {
		return this.byAddress.values()
			.stream()
			.filter((peer) -> peer.alive && nowMillis - peer.lastHeardMillis <= this.plannerSilenceMillis);
	}

	/**
	 * Returns the in-flight requests of all peers at each server.
	 * @param nowMillis the current time, in milliseconds
	 * @return the numbers of requests by server id
	 */
	public Map<String, Integer> inFlight(long nowMillis) {
		Map<String, Integer> sums = new HashMap<>();
		long loadValidityMillis = Math.max(MIN_LOAD_VALIDITY_MILLIS, this.silenceMillis);
		for (Peer peer : this.byAddress.values()) {
			if (peer.report != null && nowMillis - peer.lastHeardMillis < loadValidityMillis) {
				peer.report.inFlight().forEach((server, requests) -> sums.merge(server, requests, Integer::sum));
			}
		}
		return sums;
	}

	/**
	 * The last report of one peer and its state.
	 */
	private static final class Peer {

		private long lastHeardMillis;

		private boolean alive;

		private PeerStatus report;

		private Peer(long discoveredMillis) {
			this.lastHeardMillis = discoveredMillis;
		}

		private long inFlightBytes() {
			return (this.report != null) ? this.report.inFlightBytes() : 0;
		}

	}

}
