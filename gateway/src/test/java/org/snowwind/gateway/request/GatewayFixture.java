package org.snowwind.gateway.request;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import org.snowwind.decide.blame.PartEnd;
import org.snowwind.decide.stop.StopSchedule;
import org.snowwind.gateway.backend.Admission;
import org.snowwind.gateway.backend.BackendTable;
import org.snowwind.gateway.backend.RequestSizes;
import org.snowwind.gateway.registry.BackendEntry;
import org.snowwind.gateway.registry.BackendIncarnation;
import org.snowwind.gateway.registry.Registry;
import org.snowwind.gateway.stop.GracefulStop;
import org.snowwind.gateway.stop.OpenRequests;
import org.snowwind.gateway.suspect.ConnectProbe;
import org.snowwind.gateway.suspect.SuspectDocument;
import org.snowwind.gateway.suspect.SuspectPart;
import org.snowwind.gateway.suspect.SuspectView;
import org.snowwind.gateway.suspect.Suspects;
import org.snowwind.gateway.table.CallerAccess;
import org.snowwind.gateway.table.EngineProfile;
import org.snowwind.gateway.table.KeyHolder;
import org.snowwind.gateway.table.KeyedAccess;
import org.snowwind.gateway.table.Organisation;
import org.snowwind.gateway.table.RepeatPolicy;
import org.snowwind.gateway.table.RequestLimits;
import org.snowwind.gateway.table.Route;
import org.snowwind.gateway.table.RouteTable;
import org.snowwind.gateway.table.ServiceEntry;
import org.snowwind.gateway.table.TableFreshness;
import org.snowwind.gateway.table.TableHolder;
import org.snowwind.http.DataLoop;
import org.snowwind.http.client.UpstreamClient;
import org.snowwind.http.server.HeldBytes;
import org.snowwind.http.server.HttpLimits;
import org.snowwind.http.server.HttpServer;
import org.snowwind.model.EraRevision;
import org.snowwind.model.MonotonicClock;
import org.snowwind.store.Freshness;

/**
 * The data path of a gateway over real sockets, with scripted servers and a caller that
 * reads raw bytes.
 */
final class GatewayFixture implements AutoCloseable {

	static final long TIMEOUT_MILLIS = 1500;

	/** How long the route table may be unconfirmed before it counts as outdated. */
	static final long MAX_UNCONFIRMED_MILLIS = 60_000;

	private static final long LONG_GRACE_PERIOD_MILLIS = 60_000;

	private final DataLoop loop = new DataLoop("test");

	private final UpstreamClient client = new UpstreamClient(this.loop, 300, UpstreamClient.Connections.FRESH,
			UpstreamClient.Answers.FRAMED_OR_CLOSED);

	private final AtomicLong clockOffsetMillis = new AtomicLong();

	private final MonotonicClock clock = () -> MonotonicClock.system().nowMillis() + this.clockOffsetMillis.get();

	private final BackendTable backends = new BackendTable(this.clock, new Random(1), "dc", () -> 1);

	private final TableHolder tables = new TableHolder();

	private final Freshness confirmations = new Freshness(this.clock);

	private final TableFreshness freshness = new TableFreshness(this.tables, this.confirmations, MAX_UNCONFIRMED_MILLIS,
			this.clock);

	private final List<ScriptedServer> servers = new ArrayList<>();

	private final Map<String, BackendEntry> entries = new HashMap<>();

	private final RecordedSightings sightings = new RecordedSightings();

	private volatile SuspectView suspectView = SuspectView.EMPTY;

	private final GatewayHandler handler;

	private final HttpServer server;

	private final InetSocketAddress address;

	private final HeldBytes heldBytes;

	GatewayFixture() {
		this(HeldBytes.unbounded(), new RequestSizes(false));
	}

	GatewayFixture(HeldBytes heldBytes, RequestSizes sizes) {
		this(heldBytes, sizes, AnswerMemory.within(Runtime.getRuntime().maxMemory(), MonotonicClock.system()));
	}

	GatewayFixture(AnswerMemory answerMemory) {
		this(HeldBytes.unbounded(), new RequestSizes(false), answerMemory);
	}

	GatewayFixture(MeterRegistry meters) {
		this(HeldBytes.unbounded(), new RequestSizes(false),
				AnswerMemory.within(Runtime.getRuntime().maxMemory(), MonotonicClock.system()), meters);
	}

	GatewayFixture(HeldBytes heldBytes, RequestSizes sizes, AnswerMemory answerMemory) {
		this(heldBytes, sizes, answerMemory, new SimpleMeterRegistry());
	}

	private GatewayFixture(HeldBytes heldBytes, RequestSizes sizes, AnswerMemory answerMemory, MeterRegistry meters) {
		this.heldBytes = heldBytes;
		RetryBudgets budgets = new RetryBudgets(new RetryBudgets.RetryLimit(0, 100, 10_000), () -> 1, this.clock,
				this.clock.nowMillis() - 10_000);
		Admission admission = new Admission(this.backends, this.clock);
		RequestContext context = new RequestContext(this.loop, this.client, new TestDialect(), this.backends, admission,
				new WaitingRequests(this.loop, admission), budgets, sizes, answerMemory, suspects(),
				new GatewayMeters(meters), this.clock, new Random(1));
		this.confirmations.answered(this.clock.nowMillis(), EraRevision.ofLong(1), EraRevision.ofLong(1),
				EraRevision.ofLong(1));
		this.handler = new GatewayHandler(context, this.tables, this.freshness);
		this.server = new HttpServer(this.loop, HttpLimits.DEFAULT, this.handler, heldBytes);
		this.address = this.server.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
	}

	private Suspects suspects() {
		return new Suspects(() -> this.suspectView, this.sightings, new ConnectProbe(this.loop), (text) -> true,
				this.loop, this.clock);
	}

	/** Sets which requests gateways suspect of crashing servers. */
	void setSuspectView(SuspectView view) {
		this.suspectView = view;
	}

	/** Returns what this gateway reported about suspected requests. */
	List<String> sightings() {
		return this.sightings.lines;
	}

	/**
	 * Installs the routes {@code /once/}, {@code /many/}, {@code /stream/},
	 * {@code /frail/} and, with longer timeouts, {@code /single/}, {@code /patient/},
	 * {@code /steady/} and {@code /again/}.
	 */
	GatewayFixture withRoutes() {
		return withRoutes(Map.of(), access("org", 1, "secret"));
	}

	/** Installs the same routes to a service whose servers are ranks of one group. */
	GatewayFixture withRoutesToRanks() {
		EngineProfile engine = new EngineProfile(8, 300_000, 6, 5, 0.5, 0.01, 70_000, 6, 64, 11, 4, 1700, 92_000, 0.85);
		return withRoutes(Map.of("service", new ServiceEntry("service", engine, 0)), access("org", 1, "secret"));
	}

	/**
	 * Installs the same routes for two organisations of different priority, with the keys
	 * {@code urgent} and {@code digest}.
	 */
	GatewayFixture withPriorities() {
		return withRoutes(Map.of(), new KeyedAccess(
				List.of(organisation("urgent", 0, "urgent"), organisation("digest", 2, "digest")), List.of()));
	}

	/** Installs the same routes for an organisation without a key. */
	GatewayFixture withoutKeys() {
		return withRoutes(Map.of(),
				new KeyedAccess(List.of(new Organisation(new KeyHolder("org", 1), List.of())), List.of()));
	}

	private static CallerAccess access(String name, int priority, String key) {
		return new KeyedAccess(List.of(organisation(name, priority, key)), List.of());
	}

	private static Organisation organisation(String name, int priority, String key) {
		return new Organisation(new KeyHolder(name, priority), List.of(key));
	}

	private GatewayFixture withRoutes(Map<String, ServiceEntry> services, CallerAccess access) {
		List<Route> routes = List.of(route("once", RepeatPolicy.AT_MOST_ONCE, 1, false),
				route("many", RepeatPolicy.IDEMPOTENT, 2, false), route("stream", RepeatPolicy.STREAM, 2, true),
				route("frail", RepeatPolicy.STREAM, 1, false),
				route("single", RepeatPolicy.STREAM, 10_000, 400, 1, true),
				route("patient", RepeatPolicy.STREAM, 60_000, 60_000, 2, true),
				route("steady", RepeatPolicy.STREAM, 10_000, 400, 2, true),
				route("again", RepeatPolicy.IDEMPOTENT, 10_000, 400, 2, false));
		this.tables.offer(new RouteTable(1, routes, services, access, new RequestLimits(100_000, 15_000), new byte[0]),
				"test");
		return this;
	}

	private static Route route(String name, RepeatPolicy repeat, int attempts, boolean resumable) {
		return route(name, repeat, TIMEOUT_MILLIS, 400, attempts, resumable);
	}

	private static Route route(String name, RepeatPolicy repeat, long timeoutMillis, long targetMillis, int attempts,
			boolean resumable) {
		return new Route(name, "gateway.test", "/" + name + "/", repeat, timeoutMillis, targetMillis, 100, 1, attempts,
				false, resumable, List.of(new Route.Share("service", 1)));
	}

	/**
	 * Adds a server. Servers are tried in the order in which they are added, because each
	 * has a higher peer load than the one before.
	 */
	ScriptedServer addServer(ScriptedServer.Script script) {
		ScriptedServer added = new ScriptedServer(script);
		this.servers.add(added);
		register(added.port());
		return added;
	}

	/** Adds a server that does not listen on its port. */
	void addUnreachableServer() throws IOException {
		try (ServerSocket closed = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			register(closed.getLocalPort());
		}
	}

	private void register(int port) {
		String id = "server-" + this.entries.size();
		this.entries.put(id,
				new BackendEntry(id, BackendIncarnation.UNKNOWN, "service", "127.0.0.1", port, "dc", 8, false));
		Map<String, Integer> peerLoad = new HashMap<>();
		for (int i = 0; i < this.entries.size(); i++) {
			peerLoad.put("server-" + i, i);
		}
		onLoop(() -> {
			this.backends.update(new Registry(EraRevision.ofLong(this.entries.size()), this.entries));
			this.backends.updatePeersInFlight(peerLoad, 1);
		});
	}

	/** Puts all servers into one group that has rejected several requests in a row. */
	void closeGroup() {
		onLoop(() -> this.entries.keySet().forEach((id) -> {
			this.backends.recordGroup(BackendIncarnation.of(id), "group");
			for (int i = 0; i < 3; i++) {
				this.backends.find(id).orElseThrow().onSent(this.clock.nowMillis());
				this.backends.find(id).orElseThrow().onRejection(this.clock.nowMillis());
			}
		}));
	}

	/** Puts a server into a group. */
	void addToGroup(String id, String group) {
		onLoop(() -> this.backends.recordGroup(BackendIncarnation.of(id), group));
	}

	/** Returns the duration of a pass of a server's group, as estimated from pauses. */
	double passMillis(String id) {
		CompletableFuture<Double> millis = new CompletableFuture<>();
		this.loop.run(() -> millis.complete(this.backends.find(id).orElseThrow().group().passMillis()));
		return millis.join();
	}

	/** Sets how many requests the peers have in flight at each server. */
	void setPeerLoad(int requests) {
		Map<String, Integer> peerLoad = new HashMap<>();
		this.entries.keySet().forEach((id) -> peerLoad.put(id, requests));
		onLoop(() -> this.backends.updatePeersInFlight(peerLoad, 1));
	}

	/** Begins a stop with a long grace period. */
	void drain() {
		drain(GracefulStop.plan(this.clock.nowMillis(), LONG_GRACE_PERIOD_MILLIS));
	}

	void drain(StopSchedule schedule) {
		onLoop(() -> this.handler.drain(schedule));
	}

	/** Begins a stop and runs it on a thread of its own. */
	Thread stop(StopSchedule schedule) {
		drain(schedule);
		Thread stop = new Thread(
				new GracefulStop("gateway", schedule, this.server, new LoopRequests(), this.clock)::run, "stop");
		stop.start();
		return stop;
	}

	/** Reports the version of a peer's route table. */
	void announceTableVersion(long version) {
		this.freshness.recordPeerVersion(version, "127.0.0.1:1");
	}

	/** Advances only the gateway's clock. */
	void advanceClock(long millis) {
		this.clockOffsetMillis.addAndGet(millis);
	}

	/** Advances the clock without running timers, as if the VM was suspended. */
	void suspend(long millis) {
		advanceClock(millis);
		onLoop(this.handler::resetDeadlines);
	}

	/** Returns the time of the gateway's clock. */
	long nowMillis() {
		return this.clock.nowMillis();
	}

	/** Ends all open requests, as at the end of a stop. */
	void endAll() {
		onLoop(this.handler::endAll);
	}

	int openRequests() {
		return this.loop.ask(this.handler::openRequestCount, -1);
	}

	/** Returns the bytes that are held for all callers, as seen between two events. */
	int heldBytes() {
		return this.loop.ask(() -> (int) this.heldBytes.sumBytes(), -1);
	}

	/** Returns the sizes of this gateway's requests at a server, in tokens. */
	int heldTokens(String id) {
		return this.loop.ask(() -> (int) this.backends.find(id).orElseThrow().heldTokens(), -1);
	}

	/** Returns how many requests of this gateway a server runs. */
	int inFlight(String id) {
		return this.loop.ask(() -> this.backends.find(id).orElseThrow().inFlight(), -1);
	}

	private void onLoop(Runnable task) {
		CompletableFuture.runAsync(task, this.loop::run).join();
	}

	/**
	 * Sends a request with a valid key, unless a header sets another, and reads until the
	 * connection ends.
	 */
	String call(String path, String... headers) throws IOException {
		try (Socket socket = send(path, headers)) {
			return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
		}
	}

	Socket send(String path, String... headers) throws IOException {
		return send(new Socket(), path, headers);
	}

	/** Sends a request on a connection that takes few bytes without being read. */
	Socket sendWithSmallBuffer(String path) throws IOException {
		Socket socket = new Socket();
		socket.setReceiveBufferSize(4096);
		return send(socket, path);
	}

	private Socket send(Socket socket, String path, String... headers) throws IOException {
		socket.connect(this.address);
		socket.setSoTimeout(10_000);
		StringBuilder text = new StringBuilder("POST " + path + " HTTP/1.1\r\nHost: gateway.test\r\nt-id: r1\r\n");
		text.append("Connection: close\r\nContent-Length: 4\r\n");
		boolean hasKey = false;
		for (String header : headers) {
			text.append(header).append("\r\n");
			hasKey = hasKey || header.startsWith("t-key");
		}
		text.append(hasKey ? "" : "t-key: secret\r\n").append("\r\nbody");
		socket.getOutputStream().write(text.toString().getBytes(StandardCharsets.UTF_8));
		return socket;
	}

	/** Joins the complete chunks of a response. */
	static String bodyOf(String answer) {
		StringBuilder body = new StringBuilder();
		int at = answer.indexOf("\r\n\r\n") + 4;
		int lineEnd = answer.indexOf("\r\n", at);
		while (lineEnd > at) {
			int from = lineEnd + 2;
			int until = from + Integer.parseInt(answer.substring(at, lineEnd), 16);
			body.append(answer, from, until);
			at = until + 2;
			lineEnd = answer.indexOf("\r\n", at);
		}
		return body.toString();
	}

	/** Opens a connection and sends the given text on it. */
	Socket sendRaw(String text) throws IOException {
		return sendRaw(text.getBytes(StandardCharsets.UTF_8));
	}

	/** Opens a connection and sends the given bytes on it. */
	Socket sendRaw(byte[] bytes) throws IOException {
		Socket socket = new Socket(this.address.getAddress(), this.address.getPort());
		socket.setSoTimeout(10_000);
		socket.getOutputStream().write(bytes);
		return socket;
	}

	static String readSome(Socket socket) throws IOException {
		InputStream in = socket.getInputStream();
		byte[] bytes = new byte[4096];
		int length = in.read(bytes);
		return (length < 0) ? "" : new String(bytes, 0, length, StandardCharsets.UTF_8);
	}

	@Override
	public void close() {
		this.server.close();
		this.client.close();
		this.loop.close();
		this.servers.forEach(ScriptedServer::close);
	}

	private static final class RecordedSightings implements Suspects.Sightings {

		private final List<String> lines = new CopyOnWriteArrayList<>();

		@Override
		public void ended(SuspectDocument.SeenEnd end) {
			this.lines.add(end.end().server() + " ended under " + end.end().request());
		}

		@Override
		public void endedWithParts(List<PartEnd> ends) {
			ends.forEach(
					(end) -> this.lines.add(end.server() + " ended under " + end.part() + " in round " + end.round()));
		}

		@Override
		public void answeredParts(List<SuspectPart> parts) {
			parts.forEach((part) -> this.lines.add("answered " + part + " in round " + part.knownRounds()));
		}

		@Override
		public void answered(String digest) {
			this.lines.add("answered " + digest);
		}

		@Override
		public void lives(String server) {
			this.lines.add(server + " lives");
		}

	}

	private final class LoopRequests implements OpenRequests {

		@Override
		public int count() {
			return openRequests();
		}

		@Override
		public boolean closeIfNone() {
			return GatewayFixture.this.loop.ask(GatewayFixture.this.handler::closeIfNone, 1) == 0;
		}

		@Override
		public void endAll() {
			GatewayFixture.this.loop.ask(GatewayFixture.this.handler::endAll, 0);
		}

	}

}
