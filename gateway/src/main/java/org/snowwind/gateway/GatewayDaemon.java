package org.snowwind.gateway;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.Collectors;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import org.apache.thrift.transport.TTransportException;
import org.snowwind.config.settings.Addresses;
import org.snowwind.config.settings.GatewaySettings;
import org.snowwind.config.settings.OptionalFeatures;
import org.snowwind.decide.limit.ColdShare;
import org.snowwind.decide.silence.AttentiveTime;
import org.snowwind.decide.stop.StopSchedule;
import org.snowwind.gateway.backend.Admission;
import org.snowwind.gateway.backend.BackendTable;
import org.snowwind.gateway.backend.ColdServers;
import org.snowwind.gateway.backend.SharedLimits;
import org.snowwind.gateway.evacuation.EvacuationDuty;
import org.snowwind.gateway.expert.ExpertDuty;
import org.snowwind.gateway.expert.GroupDirectory;
import org.snowwind.gateway.peer.ConfirmationRank;
import org.snowwind.gateway.peer.GatewayControlService;
import org.snowwind.gateway.peer.GatewayDirectory;
import org.snowwind.gateway.peer.PeerConsumers;
import org.snowwind.gateway.peer.PeerDocuments;
import org.snowwind.gateway.peer.PeerMesh;
import org.snowwind.gateway.peer.PeerTable;
import org.snowwind.gateway.peer.PeerView;
import org.snowwind.gateway.peer.StoreClaims;
import org.snowwind.gateway.registry.BackendEntry;
import org.snowwind.gateway.registry.BackendIncarnation;
import org.snowwind.gateway.registry.RegistryHolder;
import org.snowwind.gateway.request.AnswerMemory;
import org.snowwind.gateway.request.GatewayHandler;
import org.snowwind.gateway.request.GatewayMeters;
import org.snowwind.gateway.request.RequestContext;
import org.snowwind.gateway.request.RetryBudgets;
import org.snowwind.gateway.request.WaitingRequests;
import org.snowwind.gateway.stop.GracefulStop;
import org.snowwind.gateway.stop.OpenRequests;
import org.snowwind.gateway.suspect.ConnectProbe;
import org.snowwind.gateway.suspect.SuspectBook;
import org.snowwind.gateway.suspect.SuspectDuty;
import org.snowwind.gateway.suspect.Suspects;
import org.snowwind.gateway.table.ServiceEntry;
import org.snowwind.gateway.table.TableHolder;
import org.snowwind.http.DataLoop;
import org.snowwind.http.admin.AdminServer;
import org.snowwind.http.client.JsonClient;
import org.snowwind.http.client.ResponseLimits;
import org.snowwind.http.client.UpstreamClient;
import org.snowwind.http.server.HttpLimits;
import org.snowwind.http.server.HttpServer;
import org.snowwind.model.MonotonicClock;
import org.snowwind.model.duty.DutyThread;
import org.snowwind.model.event.Event;
import org.snowwind.model.event.EventLog;
import org.snowwind.store.Freshness;
import org.snowwind.wire.ControlLimits;
import org.snowwind.wire.ThriftCalls;
import org.snowwind.wire.ThriftServer;
import org.snowwind.wire.generated.GatewayControl;
import org.snowwind.wire.generated.GatewayReport;

/**
 * One gateway: wires the parts, starts them and stops them in order.
 */
public final class GatewayDaemon implements AutoCloseable {

	/**
	 * A connection to a live server in the same region takes up to six milliseconds; one
	 * that takes much longer is tried elsewhere while the answer can still be on time.
	 */
	private static final long CONNECT_MILLIS = 150;

	/** How often registered gateways are looked up, in milliseconds: 4 calls a minute. */
	private static final long DIRECTORY_MILLIS = 15_000;

	/** How often servers whose group is not known are asked, in milliseconds. */
	private static final long GROUPS_MILLIS = 500;

	/** How often the loop tells other threads what it has in flight, in milliseconds. */
	private static final long REPORT_MILLIS = 50;

	private static final int MAX_URI_BYTES = 16 * 1024;

	private static final int MAX_HEADER_BYTES = 64 * 1024;

	/**
	 * Open connections of callers. The limits of all listening addresses together leave
	 * descriptors for connections to servers, the store and peers.
	 */
	private static final int MAX_CONNECTIONS = 2000;

	private static final int SMALL_RING = 16;

	/**
	 * The largest reply of a peer, in bytes. A route table has at most 1 MB, a registry
	 * of 2,400 servers about as much.
	 */
	private static final int MAX_REPLY_BYTES = 4 << 20;

	/**
	 * Limits the responses of ranks. The counts of 128 experts in each of 60 sets of
	 * layers have up to 84 KB, and all ranks of a group are read at once: 96 need 8 MB.
	 */
	private static final ResponseLimits RANK_RESPONSES = new ResponseLimits(256 << 10, 8 << 20);

	/** The platform has this part of the table's bound to bring what a peer has. */
	private static final int FETCHES_PER_BOUND = 4;

	private final GatewaySettings settings;

	private final GatewayAdapters adapters;

	private final MonotonicClock clock = MonotonicClock.system();

	private final Random random = new Random();

	private final long incarnation = ThreadLocalRandom.current().nextLong(1, Long.MAX_VALUE);

	private final DataLoop loop = new DataLoop("gateway-loop");

	private final UpstreamClient client = new UpstreamClient(this.loop, CONNECT_MILLIS,
			UpstreamClient.Connections.FRESH, UpstreamClient.Answers.FRAMED_OR_CLOSED);

	private final ThriftCalls calls = new ThriftCalls(MAX_REPLY_BYTES);

	private final StoreCopies copies;

	private final TableHolder tables;

	private final RegistryHolder registries;

	private final BackendTable backends;

	private final GatewayMemory memory;

	private final AnswerMemory answerMemory = AnswerMemory.within(Runtime.getRuntime().maxMemory(), this.clock);

	private final GatewayReadiness readiness;

	private final AdminServer admin;

	private final GatewayHandler handler;

	private final HttpServer callerServer;

	private final HttpServer readinessServer;

	private final PeerDocuments documents;

	private final StoreClaims claims;

	private final PeerMesh mesh;

	private final JsonClient rankClient = new JsonClient(Map.of(), CONNECT_MILLIS, RANK_RESPONSES);

	private final ExpertDuty experts;

	private final DutyThread groupThread;

	private final DutyThread directoryThread;

	private final ConfirmationRank rank;

	private final SuspectDuty suspects;

	private final EvacuationDuty evacuations;

	private final GatewayLimits limits;

	private ThriftServer control;

	private volatile Map<String, Integer> inFlight = Map.of();

	private volatile Map<String, Long> passJumps = Map.of();

	private volatile List<BackendEntry> ungrouped = List.of();

	private volatile boolean draining;

	private volatile boolean fleetListed;

	/** Guarded by this object. */
	private boolean listening;

	private volatile long graceMillis;

	/** Confined to the loop. */
	private long seenSuspendedMillis;

	/**
	 * Creates a gateway that does not listen yet.
	 * @param settings its settings
	 * @param adapters translate between it and the platform
	 */
	public GatewayDaemon(GatewaySettings settings, GatewayAdapters adapters) {
		this.settings = settings;
		this.graceMillis = settings.graceMillis();
		this.adapters = adapters;
		this.backends = new BackendTable(this.clock, this.random, settings.dataCentre(), this::fleetSize,
				newColdServers());
		this.memory = new GatewayMemory(settings.features().memoryMegabytes());
		this.rank = new ConfirmationRank(settings.name(), this::confirmingPeers);
		this.copies = new StoreCopies(settings, adapters, this.rank, this.clock, this.random);
		this.tables = this.copies.tables();
		this.registries = this.copies.registries();
		this.evacuations = newEvacuations(this.rank);
		this.readiness = new GatewayReadiness(this.tables, this.registries, this.backends, this.evacuations::isKnown,
				() -> this.draining);
		this.admin = new AdminServer(this.loop, this.readiness::admin, this.evacuations.pages(this::livePeerNames));
		this.suspects = new SuspectDuty(adapters.store(), adapters.reads(), settings.name(), this.rank,
				StoreCopies.watchMillis(settings, this.random), this.clock, this.random);
		this.handler = new GatewayHandler(newContext(), this.tables, this.copies.tableFreshness());
		HttpLimits limits = new HttpLimits(MAX_URI_BYTES, MAX_HEADER_BYTES, MAX_CONNECTIONS,
				HttpLimits.DEFAULT.readTimeoutMillis());
		this.callerServer = new HttpServer(this.loop, limits, this.handler, this.memory.heldBytes());
		this.readinessServer = new HttpServer(this.loop, AdminServer.LIMITS, this.readiness::answer);
		this.documents = new PeerDocuments(this.tables, this.copies.tableWatcher(), this.registries,
				this.copies.registryPrefix());
		String ownAddress = Addresses.render(settings.peers());
		this.claims = new StoreClaims(storeFreshness(), this.incarnation, this.clock);
		this.mesh = new PeerMesh(new PeerTable(ownAddress), this.documents, this.calls, this::ownReport, this.claims,
				StoreCopies.tableBoundMillis(settings) / FETCHES_PER_BOUND, new LoopConsumers(), this.clock);
		this.limits = new GatewayLimits(settings.name(), this.loop, this.backends,
				new GatewayLimits.Parts(() -> this.mesh.view().liveByName(), () -> this.draining, this.calls,
						this.admin.registry(), this.clock));
		GatewayDirectory directory = new GatewayDirectory(adapters.store(), settings.name(), ownAddress,
				this::acceptPlatformList, () -> this.mesh.view().liveAddresses());
		this.directoryThread = new DutyThread("directory", SMALL_RING, DIRECTORY_MILLIS, directory::refresh);
		GroupDirectory groups = new GroupDirectory(this.rankClient, adapters.ranks(), this.limits.calls(),
				adapters.store(),
				new GroupDirectory.Sources(() -> this.ungrouped, this::registeredRuns, this::plansExperts),
				(run, group) -> changeServers(() -> this.backends.recordGroup(run, group)), this.clock);
		this.groupThread = new DutyThread("groups", SMALL_RING, GROUPS_MILLIS, groups::round);
		this.experts = new ExpertDuty(adapters.store(), this.rankClient, adapters.ranks(), this.limits.calls(),
				this.tables, this.registries, new ExpertDuty.Local(settings.name(), this::shouldPlanExperts,
						(group) -> this.passJumps.getOrDefault(group, Long.MIN_VALUE), groups.known()),
				this.clock);
		registerMeters(this.admin.registry());
	}

	private void changeServers(Runnable change) {
		this.loop.run(() -> {
			change.run();
			this.handler.onServersChanged();
		});
	}

	private Map<String, Freshness> storeFreshness() {
		Map<String, Freshness> freshness = new HashMap<>(this.copies.freshness());
		freshness.put(SuspectBook.PREFIX, this.suspects.freshness());
		freshness.putAll(this.evacuations.freshness());
		return freshness;
	}

	private EvacuationDuty newEvacuations(ConfirmationRank rank) {
		long boundMillis = Math.min(this.settings.features().evacuationMillis(), this.settings.stableMillis());
		return new EvacuationDuty(this.settings.name(),
				new EvacuationDuty.StoreAccess(this.adapters.reads(), this.adapters.evacuations()),
				new EvacuationDuty.Timing(boundMillis, StoreCopies.watchMillis(this.settings, this.random), rank),
				(dataCentres) -> changeServers(() -> this.backends.evacuate(dataCentres)), this.clock, this.random);
	}

	private Set<BackendIncarnation> registeredRuns() {
		return this.registries.current().list().stream().map(BackendEntry::incarnation).collect(Collectors.toSet());
	}

	private Set<String> dataCentres() {
		return this.registries.current()
			.servers()
			.values()
			.stream()
			.map(BackendEntry::dataCentre)
			.collect(Collectors.toSet());
	}

	private boolean plansExperts() {
		return this.experts.fence() != 0;
	}

	private boolean shouldPlanExperts() {
		PeerView peers = this.mesh.view();
		return !this.draining
				&& this.experts.claim().stands(peers.plannerFence(), peers.recentNames(), this.settings.name());
	}

	private Set<String> livePeerNames() {
		return this.mesh.view().liveByName().keySet();
	}

	private Set<String> confirmingPeers() {
		return this.mesh.view().confirmingNames();
	}

	private int fleetSize() {
		return this.mesh.view().fleetSize();
	}

	private ColdServers newColdServers() {
		OptionalFeatures features = this.settings.features();
		return new ColdServers(new ColdServers.Bound(features.coldOver(), features.coldSlackRequests()),
				this::coldPerSecond, this::coldFleet, this.clock.nowMillis());
	}

	private double coldPerSecond(String service) {
		return this.tables.current().service(service).map(ServiceEntry::coldPerSecond).orElse(0.0);
	}

	// Peers list only gateways that they reach. The number of all gateways is known once
	// the platform's list was read.
	private ColdShare.Fleet coldFleet() {
		PeerView peers = this.mesh.view();
		return new ColdShare.Fleet(this.settings.name(), this.fleetListed ? peers.fleetSize() : 0,
				peers.liveByName().keySet());
	}

	private void acceptPlatformList(List<String> addresses) {
		this.mesh.acceptPlatformList(addresses);
		this.fleetListed = true;
	}

	private RequestContext newContext() {
		RetryBudgets.RetryLimit bound = new RetryBudgets.RetryLimit(this.settings.retryFraction(),
				this.settings.retryExtra(), this.settings.retryWindowMillis());
		RetryBudgets budgets = new RetryBudgets(bound, this::fleetSize, this.clock, this.clock.nowMillis());
		Admission admission = new Admission(this.backends, this.clock);
		return new RequestContext(this.loop, this.client, this.adapters.dialect(), this.backends, admission,
				new WaitingRequests(this.loop, admission), budgets, this.memory.sizes(), this.answerMemory,
				newSuspects(), new GatewayMeters(this.admin.registry()), this.clock, this.random);
	}

	private Suspects newSuspects() {
		return new Suspects(this.suspects::view, this.suspects, new ConnectProbe(this.loop),
				(text) -> this.rank.of(text) == 0, this.loop, this.clock);
	}

	private void registerMeters(MeterRegistry registry) {
		Gauge.builder("snowwind.gateway.open.requests", this.handler, GatewayHandler::openRequestCount)
			.register(registry);
		this.copies.registerMeters(registry);
		this.evacuations.registerMeters(registry, this::dataCentres);
		this.memory.registerMeters(registry, this.backends.memoryShortage());
		this.answerMemory.registerMeters(registry);
		this.client.faults().registerMeters(registry, "servers");
		this.rankClient.faults().registerMeters(registry, "ranks");
		this.adapters.storeFaults().registerMeters(registry, "store");
		Gauge.builder("snowwind.gateway.requests.suspected", () -> this.suspects.view().suspects().size())
			.register(registry);
		Gauge.builder("snowwind.gateway.requests.blamed", () -> this.suspects.view().blamed().size())
			.register(registry);
		Gauge.builder("snowwind.gateway.prompt.parts.suspected", () -> this.suspects.view().parts().atEnds().size())
			.register(registry);
		Gauge.builder("snowwind.gateway.prompt.parts.blamed", () -> this.suspects.view().parts().blamed().size())
			.register(registry);
		Gauge.builder("snowwind.gateway.connections", () -> this.callerServer.connections()).register(registry);
		Gauge.builder("snowwind.gateway.peers.live", () -> this.mesh.view().liveByName().size()).register(registry);
	}

	/**
	 * Begins to listen and takes up all duties.
	 * @throws TTransportException if the address for peers cannot be had
	 */
	public void start() throws TTransportException {
		this.registries.onChange((registry) -> changeServers(() -> this.backends.update(registry)));
		this.evacuations.start();
		this.copies.start();
		this.control = new ThriftServer(this.settings.peers(),
				new GatewayControl.Processor<>(
						new GatewayControlService(this.mesh, this.documents, this::ownReport, this.limits.duty())),
				"peer-control", ControlLimits.GATEWAY);
		this.readinessServer.start(this.settings.readiness());
		listenForCallers();
		this.admin.start(this.settings.admin());
		// Netty reads ready connections before it runs scheduled tasks, except in the
		// turn after a stop signal, which the longest step covers.
		this.loop.every(() -> this.backends.attentive().tick(this.clock.nowMillis()), AttentiveTime.TICK_MILLIS);
		this.loop.every(this::tell, REPORT_MILLIS);
		this.mesh.start(this.settings.seeds());
		this.directoryThread.start();
		this.suspects.start();
		this.limits.start();
		this.experts.start();
		this.groupThread.start();
		EventLog.log(Event.GATEWAY_STARTED, "gateway", this.settings.name(), "dataCentre", this.settings.dataCentre(),
				"callers", Addresses.render(this.settings.callers()), "incarnation", this.incarnation);
	}

	// A stop that comes while the gateway starts finds it either listening, and ends its
	// requests, or never listening.
	private synchronized void listenForCallers() {
		if (!this.draining) {
			this.callerServer.start(this.settings.callers());
			this.listening = true;
		}
	}

	/**
	 * Returns where callers send requests.
	 * @return the address
	 */
	public InetSocketAddress callers() {
		return this.settings.callers();
	}

	// Calls that were waiting may wait on connections that ended meanwhile. Watches make
	// others, since the age of their copies includes the suspension.
	private void noteSuspension() {
		long suspendedMillis = this.clock.suspendedMillis();
		if (suspendedMillis != this.seenSuspendedMillis) {
			EventLog.log(Event.OWN_SUSPENSION, "suspendedMillis", suspendedMillis - this.seenSuspendedMillis,
					"openRequests", this.handler.openRequestCount());
			this.seenSuspendedMillis = suspendedMillis;
			this.handler.resetDeadlines();
			this.adapters.store().giveUpCalls();
		}
	}

	private void tell() {
		noteSuspension();
		this.inFlight = this.backends.inFlight();
		this.passJumps = this.backends.lastPassJumps();
		this.limits.tell();
		this.ungrouped = this.tables.current()
			.services()
			.values()
			.stream()
			.filter((service) -> service.engine() != null && service.engine().hasExperts())
			.flatMap((service) -> this.backends.ungrouped(service.name()).stream())
			.toList();
	}

	private GatewayReport ownReport() {
		GatewayReport report = new GatewayReport(this.settings.name(), this.incarnation,
				Addresses.render(this.settings.peers()), this.draining, this.tables.current().version(),
				this.registries.current().revision().toLong(), this.inFlight, List.of(), this.experts.fence());
		this.claims.addClaims(report);
		this.evacuations.addNews(report);
		report.setStoreAway(this.copies.isStoreAway());
		return report.setLimits(this.limits.news());
	}

	/**
	 * Takes over settings that may change while the process runs: the seeds and the time
	 * to stop. Others need a restart, which the log says.
	 * @param next the settings
	 */
	public void use(GatewaySettings next) {
		boolean needsRestart = !next.callers().equals(this.settings.callers())
				|| !next.peers().equals(this.settings.peers()) || !next.platform().equals(this.settings.platform());
		this.graceMillis = next.graceMillis();
		this.mesh.addCandidates(next.seeds().stream().map(Addresses::render).toList());
		EventLog.log(Event.SETTINGS_RELOADED, "graceMillis", next.graceMillis(), "seeds", next.seeds().size(),
				"needsRestart", needsRestart);
	}

	/**
	 * Says that it is not ready, goes on serving until the balancer has noticed and open
	 * requests have ended, and stops.
	 */
	public void drainAndStop() {
		if (!beginDraining()) {
			return;
		}
		// Settings that change later do not move the end of a stop that has begun.
		long grantedMillis = this.graceMillis;
		StopSchedule schedule = GracefulStop.plan(this.clock.nowMillis(), grantedMillis);
		EventLog.log(Event.GATEWAY_DRAINING, "gateway", this.settings.name(), "graceMillis", grantedMillis);
		this.loop.run(() -> this.handler.drain(schedule));
		new GracefulStop(this.settings.name(), schedule, this.callerServer, new LoopRequests(), this.clock).run();
	}

	@Override
	public void close() {
		this.copies.close();
		this.directoryThread.close();
		this.suspects.close();
		this.evacuations.close();
		this.limits.close();
		this.experts.close();
		this.groupThread.close();
		this.mesh.close();
		if (this.control != null) {
			this.control.close();
		}
		this.callerServer.close();
		this.readinessServer.close();
		this.admin.close();
		this.calls.close();
		this.client.close();
		this.rankClient.close();
		this.loop.close();
	}

	private synchronized boolean beginDraining() {
		this.draining = true;
		return this.listening;
	}

	/**
	 * Asks the loop for its open requests.
	 */
	private final class LoopRequests implements OpenRequests {

		@Override
		public int count() {
			// A loop that does not answer may still have some open.
			return GatewayDaemon.this.loop.ask(GatewayDaemon.this.handler::openRequestCount, 1);
		}

		@Override
		public boolean closeIfNone() {
			return GatewayDaemon.this.loop.ask(GatewayDaemon.this.handler::closeIfNone, 1) == 0;
		}

		@Override
		public void endAll() {
			GatewayDaemon.this.loop.ask(GatewayDaemon.this.handler::endAll, 0);
		}

	}

	/**
	 * Hands what peers say to the loop.
	 */
	private final class LoopConsumers implements PeerConsumers {

		@Override
		public boolean isStoreUnavailable() {
			return GatewayDaemon.this.copies.isStoreAway();
		}

		@Override
		public void tableVersionReported(long version, String peer) {
			GatewayDaemon.this.copies.tableFreshness().recordPeerVersion(version, peer);
		}

		@Override
		public void peersChanged(Map<String, Integer> peersInFlight, double unheardFactor) {
			changeServers(() -> GatewayDaemon.this.backends.updatePeersInFlight(peersInFlight, unheardFactor));
		}

		@Override
		public void reported(GatewayReport report) {
			GatewayDaemon.this.evacuations.applyReport(report);
		}

		@Override
		public void limitsReported(List<SharedLimits.LimitAnnouncement> words) {
			GatewayDaemon.this.limits.heard(words);
		}

	}

}
