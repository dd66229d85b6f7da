package org.snowwind.gateway.peer;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

import org.snowwind.config.settings.Addresses;
import org.snowwind.gateway.backend.SharedLimits;
import org.snowwind.gateway.limit.LimitMessages;
import org.snowwind.model.MonotonicClock;
import org.snowwind.model.duty.DutyThread;
import org.snowwind.model.event.Event;
import org.snowwind.model.event.EventLog;
import org.snowwind.wire.Reply;
import org.snowwind.wire.ThriftCalls;
import org.snowwind.wire.ThriftLink;
import org.snowwind.wire.generated.ConfigDocument;
import org.snowwind.wire.generated.CopyClaim;
import org.snowwind.wire.generated.ExchangeStamp;
import org.snowwind.wire.generated.GatewayControl;
import org.snowwind.wire.generated.GatewayDocument;
import org.snowwind.wire.generated.GatewayReport;

/**
 * Exchanges reports with all other gateways, and fetches what they know and this process
 * does not.
 */
public final class PeerMesh implements AutoCloseable {

	/** How long a call to a peer may take, in milliseconds. */
	private static final long CALL_MILLIS = 800;

	/** The shortest time between reports to one peer, in milliseconds. */
	private static final long LEAST_PERIOD_MILLIS = 100;

	/**
	 * The same for each peer that there is, so that calls stay bounded: a hundred calls a
	 * second for each process.
	 */
	private static final long PERIOD_PER_PEER_MILLIS = 10;

	/** So many reports hold one list of all gateways; it would be most of each. */
	private static final int TURNS_PER_LISTING = 5;

	private static final int RING_SIZE = 1024;

	private final PeerTable peers;

	private final PeerDocuments documents;

	private final ThriftCalls calls;

	private final Supplier<GatewayReport> ownReport;

	private final MonotonicClock clock;

	private final StoreClaims claims;

	private final DocumentFetches fetches;

	private final CallRota rota;

	private final Consumers consumers;

	private final Map<String, ThriftLink<GatewayControl.AsyncClient>> links = new HashMap<>();

	private final DutyThread thread;

	private long nextAgingMillis = Long.MIN_VALUE;

	private final FleetSize fleet = new FleetSize();

	private volatile View view = new View(FleetSize.UNKNOWN, Map.of(), Set.of(), Set.of(), 0, Set.of());

	/**
	 * Creates a mesh that calls nobody yet.
	 * @param peers keeps what peers say
	 * @param documents gives and takes documents
	 * @param calls carries the calls
	 * @param ownReport makes the own report
	 * @param claims takes what peers have confirmed
	 * @param fetchGraceMillis how long the platform has to bring a document that a peer
	 * has, in milliseconds
	 * @param consumers take what peers say
	 * @param clock tells the time
	 */
	public PeerMesh(PeerTable peers, PeerDocuments documents, ThriftCalls calls, Supplier<GatewayReport> ownReport,
			StoreClaims claims, long fetchGraceMillis, Consumers consumers, MonotonicClock clock) {
		this.peers = peers;
		this.documents = documents;
		this.calls = calls;
		this.ownReport = ownReport;
		this.claims = claims;
		this.rota = new CallRota(peers.ownAddress());
		this.fetches = new DocumentFetches(fetchGraceMillis, CALL_MILLIS);
		this.consumers = consumers;
		this.clock = clock;
		this.thread = new DutyThread("peers", RING_SIZE, LEAST_PERIOD_MILLIS / 2, this::round);
	}

	/**
	 * Begins to call peers.
	 * @param seeds addresses at which peers may be
	 */
	public void start(List<InetSocketAddress> seeds) {
		long nowMillis = this.clock.nowMillis();
		seeds.forEach((seed) -> this.peers.mayBeAt(Addresses.render(seed), nowMillis));
		this.thread.start();
	}

	/**
	 * Returns what is known of peers.
	 * @return the view as of the last round
	 */
	public View view() {
		return this.view;
	}

	/**
	 * Takes a report that a peer has sent with a call of its own.
	 * @param report the report
	 * @param stamp tells when it was composed
	 */
	void called(GatewayReport report, ExchangeStamp stamp) {
		this.thread.offer(() -> {
			this.claims.called(report, stamp);
			heard(report);
		});
	}

	private void answered(String address, GatewayReport answer, long sentMillis) {
		this.thread.offer(() -> {
			this.claims.answered(address, answer, sentMillis, this.clock.nowMillis());
			heard(answer);
		});
	}

	private void round() {
		long nowMillis = this.clock.nowMillis();
		long periodMillis = Math.max(LEAST_PERIOD_MILLIS, PERIOD_PER_PEER_MILLIS * this.peers.known());
		if (nowMillis >= this.nextAgingMillis) {
			this.nextAgingMillis = nowMillis + periodMillis;
			this.peers.age(nowMillis, periodMillis);
			closeLinksToForgotten();
			publish(nowMillis);
		}
		List<String> due = this.rota.due(this.peers.addresses(), nowMillis, periodMillis)
			.stream()
			.filter((address) -> this.peers.calls(address, nowMillis, periodMillis))
			.toList();
		if (due.isEmpty()) {
			return;
		}
		GatewayReport report = this.ownReport.get();
		GatewayReport listing = null;
		for (String address : due) {
			if (this.rota.turns(address) % TURNS_PER_LISTING != 1) {
				exchange(address, report);
				continue;
			}
			if (listing == null) {
				listing = this.ownReport.get().setKnownGateways(this.peers.liveAddresses());
			}
			exchange(address, listing);
		}
	}

	private void closeLinksToForgotten() {
		Set<String> known = Set.copyOf(this.peers.addresses());
		this.links.forEach((address, link) -> {
			if (!known.contains(address)) {
				link.close();
			}
		});
		this.links.keySet().retainAll(known);
		this.claims.retain(known);
	}

	private void exchange(String address, GatewayReport report) {
		ThriftLink<GatewayControl.AsyncClient> link = this.links.computeIfAbsent(address, this::connect);
		ExchangeStamp stamp = this.claims.stamp(address, report);
		long sentMillis = this.clock.nowMillis();
		boolean sent = link.<GatewayReport>call((client, callback) -> client.exchange(report, stamp, callback),
				new Reply<>() {
					@Override
					public void received(GatewayReport answer) {
						answered(address, answer, sentMillis);
					}

					@Override
					public void failed(Exception cause) {
						// A silent peer is suspected by its age; nothing else follows
						// from one
						// lost call.
					}
				});
		if (!sent) {
			this.rota.again(address, sentMillis);
		}
	}

	private ThriftLink<GatewayControl.AsyncClient> connect(String address) {
		Optional<InetSocketAddress> parsed = Addresses.parse(address);
		return this.calls.link(parsed.orElseThrow(), GatewayControl.AsyncClient::new, CALL_MILLIS);
	}

	private void heard(GatewayReport report) {
		long nowMillis = this.clock.nowMillis();
		this.peers.heard(report, nowMillis);
		if (report.isSetLimits() && !report.getLimits().isEmpty()) {
			this.consumers.limitsHeard(LimitMessages.words(report.getLimits(), nowMillis));
		}
		this.consumers.tableTold(report.getTableVersion(), report.getControlAddress());
		fetchIfNewer(GatewayDocument.TABLE, report.getTableVersion(), report.getControlAddress());
		fetchIfNewer(GatewayDocument.REGISTRY, registryChange(report), report.getControlAddress());
		publish(this.clock.nowMillis());
	}

	// The registry's revision moves with every object of the store, so that it does not
	// tell who has a change of servers that another has not.
	private long registryChange(GatewayReport report) {
		return report.isSetClaims() ? report.getClaims()
			.stream()
			.filter((claim) -> claim.getPrefix().equals(this.documents.registryPrefix()))
			.mapToLong(CopyClaim::getChangedRevision)
			.max()
			.orElse(0) : 0;
	}

	private void fetchIfNewer(GatewayDocument kind, long theirRevision, String address) {
		long own = this.documents.revisionOf(kind);
		if (!this.fetches.begin(kind, theirRevision, own, this.consumers.isStoreAway(), this.clock.nowMillis())) {
			return;
		}
		ThriftLink<GatewayControl.AsyncClient> link = this.links.computeIfAbsent(address, this::connect);
		boolean sent = link.<ConfigDocument>call((client, callback) -> client.fetchDocument(kind, own, callback),
				new Reply<>() {
					@Override
					public void received(ConfigDocument document) {
						PeerMesh.this.thread.offer(() -> fetched(kind, theirRevision, document, address));
					}

					@Override
					public void failed(Exception cause) {
						EventLog.log(Event.PEER_FETCH_FAILED, "peer", address, "document", kind, "reason",
								cause.getMessage());
						PeerMesh.this.thread.offer(() -> PeerMesh.this.fetches.failed(kind));
					}
				});
		if (!sent) {
			this.fetches.failed(kind);
		}
	}

	private void fetched(GatewayDocument kind, long theirRevision, ConfigDocument document, String address) {
		this.documents.take(kind, document, address);
		this.fetches.ended(kind, theirRevision, this.documents.revisionOf(kind), this.clock.nowMillis());
	}

	private void publish(long nowMillis) {
		Set<String> live = Set.copyOf(this.peers.liveAddresses());
		this.fleet.observe(this.peers.known(), live.size());
		this.view = new View(this.fleet.size(), Map.copyOf(this.peers.liveByName()), live,
				this.peers.promptNames(nowMillis), this.peers.plannerFence(nowMillis), this.peers.confirmingNames());
		this.consumers.peersChanged(this.peers.inFlight(nowMillis), this.peers.unheardFactor(nowMillis));
	}

	/**
	 * Takes note of the platform's list of gateways.
	 * @param addresses control addresses of all others in it
	 */
	public void listed(List<String> addresses) {
		this.thread.offer(() -> {
			this.fleet.listed(addresses.size());
			addresses.forEach((address) -> this.peers.mayBeAt(address, this.clock.nowMillis()));
		});
	}

	/**
	 * Takes note of addresses at which peers may be.
	 * @param addresses control addresses
	 */
	public void mayBeAt(List<String> addresses) {
		this.thread.offer(() -> addresses.forEach((address) -> this.peers.mayBeAt(address, this.clock.nowMillis())));
	}

	@Override
	public void close() {
		this.thread.close();
		this.links.values().forEach(ThriftLink::close);
	}

	/**
	 * What is known of other gateways.
	 *
	 * @param fleetSize how many gateways there may be, this one and those out of reach
	 * included; 0 before any other or the platform was heard
	 * @param liveByName the control addresses of those that answer and do not leave, by
	 * their names
	 * @param liveAddresses the control addresses of those that answer
	 * @param promptNames the names of those that were heard a moment ago and do not leave
	 * @param plannerFence the newest fencing token with which one of them was heard a
	 * moment ago to plan expert maps, 0 if none does
	 * @param confirmingNames the names of those that answer, do not leave and reach the
	 * store
	 */
	public record View(int fleetSize, Map<String, String> liveByName, Set<String> liveAddresses,
			Set<String> promptNames, long plannerFence, Set<String> confirmingNames) {

	}

	/**
	 * Takes what peers say.
	 */
	public interface Consumers {

		/**
		 * Tells whether the platform's store does not answer this process.
		 * @return true if it does not
		 */
		boolean isStoreAway();

		/**
		 * A peer has told which route table it has in force.
		 * @param version the version
		 * @param peer the peer's control address
		 */
		void tableTold(long version, String peer);

		/**
		 * Peers have reported.
		 * @param inFlight their requests by server id
		 * @param unheardFactor by how much more all peers may have than those that have
		 * reported, 1 or more
		 */
		void peersChanged(Map<String, Integer> inFlight, double unheardFactor);

		/**
		 * A peer has told what servers say of their limits.
		 * @param words their words, by the own clock
		 */
		void limitsHeard(List<SharedLimits.Word> words);

	}

}
