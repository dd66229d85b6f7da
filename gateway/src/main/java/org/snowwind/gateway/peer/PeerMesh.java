package org.snowwind.gateway.peer;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

import org.snowwind.config.settings.Addresses;
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
 * Exchanges reports with all other gateways, and fetches documents of which they have a
 * newer revision.
 */
public final class PeerMesh implements AutoCloseable {

	/** The timeout of a call to a peer, in milliseconds. */
	private static final long CALL_TIMEOUT_MILLIS = 800;

	/** The minimum period between reports to one peer, in milliseconds. */
	private static final long MIN_PERIOD_MILLIS = 100;

	/**
	 * The minimum period between reports to one peer is also this time multiplied by the
	 * number of known peers, in milliseconds. This bounds the calls of one process to a
	 * hundred per second.
	 */
	private static final long PERIOD_PER_PEER_MILLIS = 10;

	/**
	 * One of this number of calls to a peer includes the list of all gateways, which
	 * would otherwise make up most of each report.
	 */
	private static final int CALLS_PER_LISTING = 5;

	private static final int RING_SIZE = 1024;

	private final PeerTable peers;

	private final PeerDocuments documents;

	private final ThriftCalls calls;

	private final Supplier<GatewayReport> ownReport;

	private final MonotonicClock clock;

	private final StoreClaims claims;

	private final DocumentFetches fetches;

	private final CallSchedule schedule;

	private final PeerConsumers consumers;

	private final Map<String, ThriftLink<GatewayControl.AsyncClient>> links = new HashMap<>();

	private final DutyThread thread;

	private long nextExpiryMillis = Long.MIN_VALUE;

	private final FleetSize fleet = new FleetSize();

	private volatile PeerView view = new PeerView(FleetSize.UNKNOWN, Map.of(), Set.of(), Set.of(), 0, Set.of());

	/**
	 * Creates a mesh that does not call peers yet.
	 * @param peers holds the reports of peers
	 * @param documents provides and applies documents
	 * @param calls creates the links to peers
	 * @param ownReport composes the report of this gateway
	 * @param claims exchanges confirmations of the store with peers
	 * @param fetchGraceMillis the time that the platform has to deliver a document that a
	 * peer has, in milliseconds
	 * @param consumers receive what peers report
	 * @param clock provides the current time
	 */
	public PeerMesh(PeerTable peers, PeerDocuments documents, ThriftCalls calls, Supplier<GatewayReport> ownReport,
			StoreClaims claims, long fetchGraceMillis, PeerConsumers consumers, MonotonicClock clock) {
		this.peers = peers;
		this.documents = documents;
		this.calls = calls;
		this.ownReport = ownReport;
		this.claims = claims;
		this.schedule = new CallSchedule(peers.ownAddress());
		this.fetches = new DocumentFetches(fetchGraceMillis, CALL_TIMEOUT_MILLIS);
		this.consumers = consumers;
		this.clock = clock;
		this.thread = new DutyThread("peers", RING_SIZE, MIN_PERIOD_MILLIS / 2, this::runRound);
	}

	/**
	 * Starts calling peers.
	 * @param seeds the addresses at which there may be peers
	 */
	public void start(List<InetSocketAddress> seeds) {
		long nowMillis = this.clock.nowMillis();
		seeds.forEach((seed) -> this.peers.addCandidate(Addresses.render(seed), nowMillis));
		this.thread.start();
	}

	/**
	 * Returns the current view of the peers.
	 * @return the view as of the last round or report
	 */
	public PeerView view() {
		return this.view;
	}

	/**
	 * Processes the report that a peer has sent in a call to this gateway.
	 * @param report the report
	 * @param stamp determines when the report was composed
	 */
	void handleCall(GatewayReport report, ExchangeStamp stamp) {
		this.thread.offer(() -> {
			this.claims.acceptCall(report, stamp);
			handleReport(report);
		});
	}

	private void handleAnswer(String address, GatewayReport answer, long sentMillis) {
		this.thread.offer(() -> {
			this.claims.acceptAnswer(address, answer, sentMillis, this.clock.nowMillis());
			handleReport(answer);
		});
	}

	private void runRound() {
		long nowMillis = this.clock.nowMillis();
		long periodMillis = Math.max(MIN_PERIOD_MILLIS, PERIOD_PER_PEER_MILLIS * this.peers.knownCount());
		if (nowMillis >= this.nextExpiryMillis) {
			this.nextExpiryMillis = nowMillis + periodMillis;
			this.peers.expireSilent(nowMillis, periodMillis);
			closeLinksToForgottenPeers();
			publish(nowMillis);
		}
		List<String> due = this.schedule.due(this.peers.addresses(), nowMillis, periodMillis)
			.stream()
			.filter((address) -> this.peers.shouldCall(address, nowMillis, periodMillis))
			.toList();
		if (due.isEmpty()) {
			return;
		}
		GatewayReport report = this.ownReport.get();
		GatewayReport listing = null;
		for (String address : due) {
			if (this.schedule.callCount(address) % CALLS_PER_LISTING != 1) {
				exchange(address, report);
				continue;
			}
			if (listing == null) {
				listing = this.ownReport.get().setKnownGateways(this.peers.liveAddresses());
			}
			exchange(address, listing);
		}
	}

	private void closeLinksToForgottenPeers() {
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
						handleAnswer(address, answer, sentMillis);
					}

					@Override
					public void failed(Exception cause) {
						// One lost call has no effect. A peer is suspected only
						// after a longer silence.
					}
				});
		if (!sent) {
			this.schedule.retryNow(address, sentMillis);
		}
	}

	private ThriftLink<GatewayControl.AsyncClient> connect(String address) {
		Optional<InetSocketAddress> parsed = Addresses.parse(address);
		return this.calls.link(parsed.orElseThrow(), GatewayControl.AsyncClient::new, CALL_TIMEOUT_MILLIS);
	}

	private void handleReport(GatewayReport report) {
		long nowMillis = this.clock.nowMillis();
		if (!this.peers.acceptReport(report, nowMillis)) {
			return;
		}
		this.consumers.reported(report);
		if (report.isSetLimits() && !report.getLimits().isEmpty()) {
			this.consumers.limitsReported(LimitMessages.fromMessages(report.getLimits(), nowMillis));
		}
		this.consumers.tableVersionReported(report.getTableVersion(), report.getControlAddress());
		fetchIfNewer(GatewayDocument.TABLE, report.getTableVersion(), report.getControlAddress());
		fetchIfNewer(GatewayDocument.REGISTRY, registryChangeRevision(report), report.getControlAddress());
		publish(this.clock.nowMillis());
	}

	// The revision of the registry increases with every change in the store. It therefore
	// does not show whether a peer has a change of servers that this process lacks.
	private long registryChangeRevision(GatewayReport report) {
		return report.isSetClaims() ? report.getClaims()
			.stream()
			.filter((claim) -> claim.getPrefix().equals(this.documents.registryPrefix()))
			.mapToLong(CopyClaim::getChangedRevision)
			.max()
			.orElse(0) : 0;
	}

	private void fetchIfNewer(GatewayDocument kind, long peerRevision, String address) {
		long own = this.documents.revisionOf(kind);
		if (!this.fetches.tryBegin(kind, peerRevision, own, this.consumers.isStoreUnavailable(),
				this.clock.nowMillis())) {
			return;
		}
		ThriftLink<GatewayControl.AsyncClient> link = this.links.computeIfAbsent(address, this::connect);
		boolean sent = link.<ConfigDocument>call((client, callback) -> client.fetchDocument(kind, own, callback),
				new Reply<>() {
					@Override
					public void received(ConfigDocument document) {
						PeerMesh.this.thread.offer(() -> handleFetched(kind, peerRevision, document, address));
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

	private void handleFetched(GatewayDocument kind, long peerRevision, ConfigDocument document, String address) {
		this.documents.accept(kind, document, address);
		this.fetches.completed(kind, peerRevision, this.documents.revisionOf(kind), this.clock.nowMillis());
	}

	private void publish(long nowMillis) {
		Set<String> live = Set.copyOf(this.peers.liveAddresses());
		this.fleet.observe(this.peers.knownCount(), live.size());
		this.view = new PeerView(this.fleet.size(), Map.copyOf(this.peers.liveByName()), live,
				this.peers.recentNames(nowMillis), this.peers.plannerFence(nowMillis), this.peers.confirmingNames());
		this.consumers.peersChanged(this.peers.inFlight(nowMillis), this.peers.unreportedFactor(nowMillis));
	}

	/**
	 * Processes the platform's list of gateways.
	 * @param addresses the control addresses of all other gateways in the list
	 */
	public void acceptPlatformList(List<String> addresses) {
		this.thread.offer(() -> {
			this.fleet.listed(addresses.size());
			addresses.forEach((address) -> this.peers.addCandidate(address, this.clock.nowMillis()));
		});
	}

	/**
	 * Adds addresses at which there may be peers.
	 * @param addresses the control addresses
	 */
	public void addCandidates(List<String> addresses) {
		this.thread
			.offer(() -> addresses.forEach((address) -> this.peers.addCandidate(address, this.clock.nowMillis())));
	}

	@Override
	public void close() {
		this.thread.close();
		this.links.values().forEach(ThriftLink::close);
	}

}
