package org.snowwind.entry;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import org.apache.thrift.transport.TTransportException;
import org.snowwind.config.check.BuiltInChecks;
import org.snowwind.config.check.ResourceChecks;
import org.snowwind.config.settings.Addresses;
import org.snowwind.config.settings.EntrySettings;
import org.snowwind.config.snapshot.SnapshotBuilder;
import org.snowwind.decide.silence.AttentiveTime;
import org.snowwind.decide.stop.StopSchedule;
import org.snowwind.entry.api.BurnReading;
import org.snowwind.entry.api.DrainOrders;
import org.snowwind.entry.api.ResourceApi;
import org.snowwind.entry.api.ResourceWriter;
import org.snowwind.entry.api.StatusBoard;
import org.snowwind.entry.burn.BurnCounter;
import org.snowwind.entry.burn.BurnLine;
import org.snowwind.entry.burn.BurnWriter;
import org.snowwind.entry.claim.ClaimDuty;
import org.snowwind.entry.config.ConfigHolder;
import org.snowwind.entry.config.PlatformWatcher;
import org.snowwind.entry.limit.OrganisationGates;
import org.snowwind.entry.member.AttemptSequence;
import org.snowwind.entry.member.EntryControlService;
import org.snowwind.entry.member.LateService;
import org.snowwind.entry.member.Membership;
import org.snowwind.entry.member.ServerTable;
import org.snowwind.entry.request.CallerHandler;
import org.snowwind.entry.request.RequestContext;
import org.snowwind.entry.request.RequestMeters;
import org.snowwind.entry.request.ThriftRevoker;
import org.snowwind.http.DataLoop;
import org.snowwind.http.admin.AdminServer;
import org.snowwind.http.client.JsonClient;
import org.snowwind.http.client.ResponseLimits;
import org.snowwind.http.client.UpstreamClient;
import org.snowwind.http.server.HttpLimits;
import org.snowwind.http.server.HttpServer;
import org.snowwind.model.MonotonicClock;
import org.snowwind.model.duty.DutyThread;
import org.snowwind.model.duty.Pause;
import org.snowwind.model.event.Event;
import org.snowwind.model.event.EventLog;
import org.snowwind.store.HttpObjectStore;
import org.snowwind.store.HttpVmList;
import org.snowwind.store.VerifiedWrites;
import org.snowwind.store.VmList;
import org.snowwind.wire.ControlLimits;
import org.snowwind.wire.ThriftCalls;
import org.snowwind.wire.ThriftServer;
import org.snowwind.wire.generated.EntryControl;

/**
 * One entry: wires the parts, starts them and stops them in order.
 */
public final class EntryDaemon implements AutoCloseable {

	private static final long CONNECT_TIMEOUT_MILLIS = 500;

	private static final long WATCH_TICK_MILLIS = 100;

	private static final long VM_LIST_MILLIS = 5000;

	private static final int SMALL_RING = 16;

	/** Limits the platform's responses. Its listings have no pages. */
	private static final ResponseLimits PLATFORM_RESPONSES = new ResponseLimits(16 << 20, 32 << 20);

	private static final int SUSPECT_HEARTBEATS = 3;

	private final EntrySettings settings;

	private final MonotonicClock clock = MonotonicClock.system();

	private final Random random = new Random();

	private final DataLoop loop = new DataLoop("entry-loop");

	private final UpstreamClient client = new UpstreamClient(this.loop, CONNECT_TIMEOUT_MILLIS);

	private final JsonClient platformClient = new JsonClient(Map.of(), CONNECT_TIMEOUT_MILLIS, PLATFORM_RESPONSES);

	private final ThriftCalls calls = new ThriftCalls(ThriftCalls.DOCUMENT_BYTES);

	private final AttemptSequence sequence = new AttemptSequence(
			ThreadLocalRandom.current().nextLong(1, Long.MAX_VALUE));

	private final ConfigHolder config;

	private final HttpObjectStore store;

	private final VmList vmList;

	private final ServerTable servers;

	private final OrganisationGates gates = new OrganisationGates(this.clock);

	private final BurnCounter burn = new BurnCounter(EntryDaemon::minuteNow);

	private final BurnWriter burnWriter;

	private final ClaimDuty claims;

	private final CallerHandler callers;

	private final HttpServer callerServer;

	private final AdminServer admin;

	private Membership membership;

	private ThriftServer control;

	private ResourceApi api;

	private HttpServer operatorServer;

	private DutyThread configThread;

	private DutyThread vmThread;

	private DutyThread burnThread;

	private volatile boolean draining;

	/**
	 * Creates an entry that does not listen yet.
	 * @param settings its settings
	 */
	public EntryDaemon(EntrySettings settings) {
		this.settings = settings;
		this.config = new ConfigHolder(settings.name());
		this.store = new HttpObjectStore(this.platformClient, settings.platformUrl(), settings.platformTimeoutMillis());
		this.vmList = new HttpVmList(this.platformClient, settings.platformUrl(), settings.platformTimeoutMillis());
		this.servers = new ServerTable(settings.dataCentre(), this.clock, this.random,
				settings.heartbeatMillis() * SUSPECT_HEARTBEATS);
		this.claims = new ClaimDuty(this.store);
		this.burnWriter = new BurnWriter(this.store, settings.dataCentre(),
				settings.name() + "-" + Long.toHexString(this.sequence.incarnation()));
		this.admin = new AdminServer(this.loop, this::readiness, Map.of());
		this.callers = new CallerHandler(newContext(), this.config, this.claims);
		HttpLimits limits = new HttpLimits(HttpLimits.DEFAULT.maxUriBytes(), HttpLimits.DEFAULT.maxHeaderBytes(),
				settings.maxConnections(), HttpLimits.DEFAULT.readTimeoutMillis());
		this.callerServer = new HttpServer(this.loop, limits, this.callers);
		registerMeters(this.admin.registry());
	}

	private RequestContext newContext() {
		ThriftRevoker revoker = new ThriftRevoker(this.calls, this.loop, this.settings.fleetCredential());
		RequestMeters meters = new RequestMeters(this.admin.registry());
		return new RequestContext(this.loop, this.client, this.servers, this.gates, this.sequence, revoker, meters,
				this.burn, this.clock, this.random, this.settings.fleetCredential(), this.settings.streamStallMillis());
	}

	private AdminServer.Readiness readiness() {
		if (this.draining) {
			return new AdminServer.Readiness(false, "draining");
		}
		if (this.config.current().revision().isNone()) {
			return new AdminServer.Readiness(false, "no configuration yet: neither the platform nor a peer answered");
		}
		return AdminServer.Readiness.READY;
	}

	private void registerMeters(MeterRegistry registry) {
		Gauge.builder("snowwind.entry.open.requests", this.callers, CallerHandler::open).register(registry);
		Gauge.builder("snowwind.entry.config.revision", this.config, (holder) -> holder.current().revision().toLong())
			.register(registry);
		Gauge.builder("snowwind.entry.servers.healthy", this.servers, ServerTable::healthyCount).register(registry);
		this.client.faults().registerMeters(registry, "agents");
		this.platformClient.faults().registerMeters(registry, "store");
		Gauge.builder("snowwind.entry.connections", () -> this.callerServer.connections()).register(registry);
	}

	/**
	 * Begins to listen and takes up all duties.
	 * @return where it listens
	 * @throws TTransportException if the control address cannot be had
	 */
	public BoundAddresses start() throws TTransportException {
		LateService service = new LateService();
		this.control = new ThriftServer(this.settings.control(), new EntryControl.Processor<>(service), "entry-control",
				ControlLimits.DOCUMENTS);
		InetSocketAddress controlAddress = new InetSocketAddress(this.settings.control().getAddress(),
				this.control.port());
		this.membership = new Membership(this.settings, controlAddress, this.loop, this.servers, this.sequence,
				this.config, this.calls, this.clock, this.random);
		service.is(new EntryControlService(this.membership, this.config, this.settings.fleetCredential()));
		this.config.onChange((snapshot) -> this.loop.run(() -> this.servers.use(snapshot)));
		this.membership.start();
		startDuties();
		InetSocketAddress operators = this.operatorServer.start(this.settings.operators());
		InetSocketAddress adminAddress = this.admin.start(this.settings.admin());
		InetSocketAddress callerAddress = this.callerServer.start(this.settings.callers());
		EventLog.log(Event.ENTRY_STARTED, "entry", this.settings.name(), "dataCentre", this.settings.dataCentre(),
				"callers", Addresses.render(callerAddress), "operators", Addresses.render(operators));
		return new BoundAddresses(callerAddress, operators, controlAddress, adminAddress);
	}

	private void startDuties() {
		ResourceChecks checks = new ResourceChecks(BuiltInChecks.ALL);
		PlatformWatcher watcher = new PlatformWatcher(this.store, new SnapshotBuilder(checks), this.config,
				() -> this.membership.view().relay(), this.clock, this.random, this.membership::platformAge);
		this.configThread = new DutyThread("config", SMALL_RING, WATCH_TICK_MILLIS, watcher::round);
		this.vmThread = new DutyThread("vm-list", SMALL_RING, VM_LIST_MILLIS, this::readVmList);
		StatusBoard status = new StatusBoard(this.config, this.membership::view);
		VerifiedWrites writes = new VerifiedWrites(this.store, Pause::millis);
		ResourceWriter writer = new ResourceWriter(this.store, writes, checks, this.config);
		DrainOrders drains = new DrainOrders(this.config, this.calls, this.settings.fleetCredential());
		this.api = new ResourceApi(this.settings.operatorToken(), this.loop, status, writer, drains,
				new BurnReading(this.store, this.config));
		this.operatorServer = new HttpServer(this.loop, HttpLimits.DEFAULT, this.api);
		this.configThread.start();
		this.vmThread.start();
		this.burnThread = new DutyThread("burn", SMALL_RING, this.settings.burnWriteMillis(), this::writeBurn);
		this.burnThread.start();
		this.claims.start();
		this.api.start();
		this.loop.every(() -> this.servers.attentive().tick(this.clock.nowMillis()), AttentiveTime.TICK_MILLIS);
		this.loop.every(() -> this.gates.liveEntries(this.membership.view().liveEntries()),
				this.settings.heartbeatMillis());
	}

	private static long minuteNow() {
		return TimeUnit.MILLISECONDS.toMinutes(System.currentTimeMillis());
	}

	private void writeBurn() {
		this.loop.run(() -> {
			List<BurnLine> lines = this.burn.take();
			boolean taken = this.burnThread.offer(() -> this.burnWriter.write(lines, minuteNow()));
			if (!taken) {
				EventLog.log(Event.RING_FULL, "thread", "burn", "lost", lines.size());
			}
		});
	}

	// Only relays read the list; the others hear of its entries from them.
	private void readVmList() {
		if (!this.membership.view().relay()) {
			return;
		}
		this.membership.listed(this.vmList.read()
			.stream()
			.filter((vm) -> "entry".equals(vm.role()) && !vm.leaving())
			.map(VmList.Vm::controlAddress)
			.filter((address) -> Addresses.parse(address).isPresent())
			.toList());
	}

	/**
	 * Returns the configuration holder.
	 * @return what is in force here
	 */
	public ConfigHolder config() {
		return this.config;
	}

	/**
	 * Says that it is not ready, gives the balancer time to go elsewhere, lets open
	 * requests end up to the drain bound, which is fixed now, and stops.
	 */
	public void drainAndStop() {
		StopSchedule schedule = StopSchedule.of(this.clock.nowMillis(), this.settings.graceMillis(),
				this.settings.graceMillis() + this.settings.drainMillis(), 0);
		// Answers close their connections before anyone is told that the entry leaves.
		this.loop.ask(() -> {
			this.callers.stop(schedule);
			return 0;
		}, 0);
		this.draining = true;
		EventLog.log(Event.ENTRY_DRAINING, "entry", this.settings.name(), "graceMillis", this.settings.graceMillis(),
				"endsInMillis", schedule.remainingMillis(this.clock.nowMillis()));
		this.membership.drain();
		new GracefulStop(this.settings.name(), schedule, this.callerServer, this.callers, this.loop, this.clock).run();
		close();
		EventLog.log(Event.ENTRY_STOPPED, "entry", this.settings.name());
	}

	@Override
	public void close() {
		this.callerServer.close();
		this.claims.close();
		this.configThread.close();
		this.vmThread.close();
		this.burnThread.close();
		this.api.close();
		this.membership.close();
		this.control.close();
		this.operatorServer.close();
		this.admin.close();
		this.calls.close();
		this.client.close();
		this.platformClient.close();
		this.loop.close();
	}

	/**
	 * Where an entry listens.
	 *
	 * @param callers for callers' requests
	 * @param operators for the resource API
	 * @param control for other entries
	 * @param admin for metrics and readiness
	 */
	public record BoundAddresses(InetSocketAddress callers, InetSocketAddress operators, InetSocketAddress control,
			InetSocketAddress admin) {

	}

}
