package org.snowwind.agent;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BooleanSupplier;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import org.apache.thrift.transport.TTransportException;
import org.snowwind.agent.admission.BackendLane;
import org.snowwind.agent.backend.BackendProtocol;
import org.snowwind.agent.backend.EngineProtocol;
import org.snowwind.agent.backend.PlainProtocol;
import org.snowwind.config.settings.Addresses;
import org.snowwind.config.settings.AgentSettings;
import org.snowwind.decide.ledger.AttemptLedger;
import org.snowwind.decide.silence.AttentiveTime;
import org.snowwind.decide.stop.StopSchedule;
import org.snowwind.http.DataLoop;
import org.snowwind.http.admin.AdminServer;
import org.snowwind.http.client.UpstreamClient;
import org.snowwind.http.server.HttpLimits;
import org.snowwind.http.server.HttpServer;
import org.snowwind.model.MonotonicClock;
import org.snowwind.model.duty.Pause;
import org.snowwind.model.event.Event;
import org.snowwind.model.event.EventLog;
import org.snowwind.wire.ControlLimits;
import org.snowwind.wire.ThriftServer;
import org.snowwind.wire.generated.AgentControl;

/**
 * One agent: wires the parts, starts them and stops them in order.
 */
public final class AgentDaemon implements AutoCloseable {

	private static final long PUMP_MILLIS = 50;

	private static final long RETIRE_CHECK_MILLIS = 10_000;

	private static final long RETIRE_AFTER_MILLIS = 120_000;

	private static final long CONNECT_TIMEOUT_MILLIS = 500;

	private static final long DRAIN_POLL_MILLIS = 20;

	/**
	 * How long entries may take to hear of a stop by their heartbeats, in milliseconds;
	 * six of the default period.
	 */
	private static final long ENTRIES_KNOW_MILLIS = 3000;

	/** How long the last answers may take to go out, in milliseconds. */
	private static final long CLOSING_MILLIS = 300;

	private static final int MAX_REMEMBERED_PER_ENTRY = 8192;

	private static final int MAX_RETIRED_ENTRIES = 10_000;

	private final AgentSettings settings;

	private final MonotonicClock clock = MonotonicClock.system();

	private final AttentiveTime attentive = new AttentiveTime(this.clock.nowMillis(),
			AttentiveTime.LONGEST_STEP_MILLIS);

	private final DataLoop loop = new DataLoop("agent-loop");

	// Back ends name no request in their answers. On a connection that is used again, an
	// answer that comes twice would be taken for that of the next attempt, which is
	// another caller's. It costs the agent a ninth of the tokens it passes on in a
	// core-second (39,400 to 35,000 at 64 streams of 40 tokens, 'snowwind measure path').
	private final UpstreamClient client = new UpstreamClient(this.loop, CONNECT_TIMEOUT_MILLIS,
			UpstreamClient.Connections.FRESH, UpstreamClient.Answers.FRAMED);

	private final AgentState state;

	private final HttpServer server;

	private final AdminServer admin;

	private ThriftServer control;

	/**
	 * Creates an agent that does not listen yet.
	 * @param settings its settings
	 */
	public AgentDaemon(AgentSettings settings) {
		this.settings = settings;
		long incarnation = ThreadLocalRandom.current().nextLong(1, Long.MAX_VALUE);
		AttemptLedger ledger = new AttemptLedger(MAX_REMEMBERED_PER_ENTRY, MAX_RETIRED_ENTRIES, this.attentive);
		AgentState.Weights weights = new AgentState.Weights();
		this.state = new AgentState(settings.name(), incarnation, ledger, lanes(ledger, weights), weights);
		AttemptHandler handler = new AttemptHandler(this.state, this.clock, settings.fleetCredential());
		this.server = new HttpServer(this.loop, HttpLimits.DEFAULT, handler);
		this.admin = new AdminServer(this.loop, this::readiness, Map.of());
		registerMeters(this.admin.registry());
	}

	private Map<String, BackendLane> lanes(AttemptLedger ledger, AgentState.Weights weights) {
		BackendLane.LaneSettings bounds = new BackendLane.LaneSettings(this.settings.startConcurrency(),
				this.settings.maxConcurrency(), this.settings.maxWaitingPerOrganisation());
		Map<String, BackendLane> lanes = new HashMap<>();
		for (AgentSettings.Backend backend : this.settings.backends()) {
			lanes.put(backend.target(),
					new BackendLane(protocolOf(backend), bounds, this.client, this.clock, ledger, weights::of));
		}
		return lanes;
	}

	private static BackendProtocol protocolOf(AgentSettings.Backend backend) {
		String baseUrl = "http://" + Addresses.render(backend.address());
		return switch (backend.kind()) {
			case ENGINE -> new EngineProtocol(baseUrl);
			case PLAIN -> new PlainProtocol(baseUrl);
		};
	}

	private AdminServer.Readiness readiness() {
		return this.state.draining() ? new AdminServer.Readiness(false, "draining") : AdminServer.Readiness.READY;
	}

	private void registerMeters(MeterRegistry registry) {
		Gauge.builder("snowwind.agent.running", this.state, AgentState::running).register(registry);
		Gauge.builder("snowwind.agent.waiting", this.state, AgentState::waiting).register(registry);
		Gauge.builder("snowwind.agent.concurrency.limit", this.state, AgentState::concurrencyLimit).register(registry);
		Gauge.builder("snowwind.agent.ledger.attempts", this.state, (agent) -> agent.ledger().size())
			.register(registry);
		this.client.faults().registerMeters(registry, "backends");
		Gauge.builder("snowwind.agent.config.revision", this.state, AgentState::configRevision).register(registry);
	}

	/**
	 * Begins to listen.
	 * @return where it listens
	 * @throws TTransportException if the control address cannot be had
	 */
	public BoundAddresses start() throws TTransportException {
		AgentControlService service = new AgentControlService(this.state, this.loop, this.clock,
				this.settings.fleetCredential());
		this.control = new ThriftServer(this.settings.control(), new AgentControl.Processor<>(service), "agent-control",
				ControlLimits.DOCUMENTS);
		InetSocketAddress requests = this.server.start(this.settings.requests());
		InetSocketAddress adminAddress = this.admin.start(this.settings.admin());
		this.loop.every(this.state::pump, PUMP_MILLIS);
		this.loop.every(this.state::forgetIdle, RETIRE_CHECK_MILLIS);
		this.loop.every(() -> this.attentive.tick(this.clock.nowMillis()), AttentiveTime.TICK_MILLIS);
		this.loop.every(() -> this.state.ledger().retireSilent(this.clock.nowMillis(), RETIRE_AFTER_MILLIS),
				RETIRE_CHECK_MILLIS);
		InetSocketAddress controlAddress = new InetSocketAddress(this.settings.control().getAddress(),
				this.control.port());
		EventLog.log(Event.AGENT_STARTED, "agent", this.settings.name(), "dataCentre", this.settings.dataCentre(),
				"requests", Addresses.render(requests), "control", Addresses.render(controlAddress));
		return new BoundAddresses(requests, controlAddress, adminAddress);
	}

	/**
	 * Refuses new work, lets running work end up to the drain bound, and stops. It stays
	 * to refuse until every entry has heard of the stop: what an entry sends to an agent
	 * that is gone may have run, for all that anybody can say.
	 */
	public void drainAndStop() {
		StopSchedule schedule = StopSchedule.of(this.clock.nowMillis(), ENTRIES_KNOW_MILLIS,
				this.settings.drainMillis(), 0);
		this.loop.ask(() -> {
			this.state.drain("stop");
			return 0;
		}, 0);
		long drainedMillis = this.clock.nowMillis();
		waitUntil(() -> schedule.knownToSenders(this.clock.nowMillis()) || entriesKnow(drainedMillis));
		this.server.stopListening();
		this.server.closeIdleConnections();
		waitUntil(() -> schedule.ended(this.clock.nowMillis()) || running() == 0);
		this.loop.run(this.state::cutOff);
		this.server.closeIdleConnections();
		StopSchedule closing = StopSchedule.of(this.clock.nowMillis(), 0, CLOSING_MILLIS, 0);
		waitUntil(() -> closing.ended(this.clock.nowMillis()) || this.server.connections() == 0);
		close();
		EventLog.log(Event.AGENT_STOPPED, "agent", this.settings.name());
	}

	private static void waitUntil(BooleanSupplier condition) {
		while (!condition.getAsBoolean()) {
			Pause.millis(DRAIN_POLL_MILLIS);
		}
	}

	private boolean entriesKnow(long drainedMillis) {
		return this.loop.ask(() -> this.state.ledger().allHeardAfter(drainedMillis) ? 1 : 0, 0) == 1;
	}

	// A loop that does not answer may still have some running.
	private int running() {
		return this.loop.ask(this.state::running, 1);
	}

	@Override
	public void close() {
		// Entries may ask what became of an attempt whose connection has just broken.
		this.server.close();
		if (this.control != null) {
			this.control.close();
		}
		this.admin.close();
		this.client.close();
		this.loop.close();
	}

	/**
	 * Where an agent listens.
	 *
	 * @param requests for entries' requests
	 * @param control for heartbeats and orders
	 * @param admin for metrics and readiness
	 */
	public record BoundAddresses(InetSocketAddress requests, InetSocketAddress control, InetSocketAddress admin) {

	}

}
