package org.snowwind.entry.request;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import org.apache.commons.codec.digest.DigestUtils;
import org.snowwind.config.settings.Addresses;
import org.snowwind.config.snapshot.ResourceSet;
import org.snowwind.config.snapshot.Snapshot;
import org.snowwind.decide.outcome.AttemptEnd;
import org.snowwind.entry.burn.BurnCounter;
import org.snowwind.entry.claim.ClaimDuty;
import org.snowwind.entry.config.ConfigHolder;
import org.snowwind.entry.limit.OrganisationGates;
import org.snowwind.entry.member.AttemptSequence;
import org.snowwind.entry.member.ServerTable;
import org.snowwind.http.DataLoop;
import org.snowwind.http.client.UpstreamClient;
import org.snowwind.http.server.HttpLimits;
import org.snowwind.http.server.HttpServer;
import org.snowwind.model.EraRevision;
import org.snowwind.model.MonotonicClock;
import org.snowwind.model.resource.BackendServerSpec;
import org.snowwind.model.resource.ModelGroupSpec;
import org.snowwind.model.resource.OrganisationSpec;
import org.snowwind.model.resource.Resource;
import org.snowwind.model.resource.ResourceKey;
import org.snowwind.model.resource.ResourceKind;
import org.snowwind.model.resource.ResourceSpec;
import org.snowwind.model.resource.ServiceSpec;
import org.snowwind.standin.CallerAnswer;
import org.snowwind.standin.ScriptedPeer;
import org.snowwind.store.GetResult;
import org.snowwind.store.ListResult;
import org.snowwind.store.ObjectStore;
import org.snowwind.store.WatchResult;
import org.snowwind.store.WriteResult;
import org.snowwind.wire.generated.AgentReport;

/**
 * An entry's data path over real sockets: callers that read bytes, and one scripted agent
 * that stands for several servers, so that a script says what the next attempt meets
 * whichever server is chosen.
 */
final class EntryFixture implements AutoCloseable {

	private static final int SERVERS = 3;

	private static final int SOCKET_TIMEOUT_MILLIS = 10_000;

	private static final String KEY = "key";

	/** A key whose octets in UTF-8 differ from those in Latin 1. */
	static final String KEY_BEYOND_ASCII = "cl\u00e9";

	private final DataLoop loop = new DataLoop("test");

	private final UpstreamClient client = new UpstreamClient(this.loop, 500);

	private final MonotonicClock clock = MonotonicClock.system();

	private final ScriptedPeer agent = new ScriptedPeer();

	private final AwayStore store = new AwayStore();

	private final ClaimDuty claims = new ClaimDuty(this.store);

	private final ConfigHolder config = new ConfigHolder("test");

	/** Suspects each server that was not heard of within the last millisecond. */
	private final ServerTable servers = new ServerTable("casa", this.clock, new Random(1), 0);

	private final CallerHandler handler;

	private final HttpServer server;

	private final InetSocketAddress address;

	EntryFixture() {
		this(new SimpleMeterRegistry());
	}

	EntryFixture(MeterRegistry meters) {
		RequestContext context = new RequestContext(this.loop, this.client, this.servers,
				new OrganisationGates(this.clock), new AttemptSequence(7),
				(control, incarnation, id, whenKnown) -> whenKnown.accept(AttemptEnd.LOST_FOR_GOOD),
				new RequestMeters(meters), new BurnCounter(() -> 0), this.clock, new Random(1), "fleet", 2000);
		this.handler = new CallerHandler(context, this.config, this.claims);
		this.server = new HttpServer(this.loop, HttpLimits.DEFAULT, this.handler);
		this.address = this.server.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
		this.claims.start();
		Snapshot snapshot = snapshot();
		this.config.offer(snapshot);
		onLoop(() -> {
			this.servers.use(snapshot);
			snapshot.servers().forEach((listed) -> this.servers.heard(listed.name(), report(listed.name())));
		});
	}

	private Snapshot snapshot() {
		List<Resource> resources = new ArrayList<>();
		resources.add(resource(ResourceKind.ORGANISATION, "atlas",
				new OrganisationSpec(List.of(DigestUtils.sha256Hex(KEY), DigestUtils.sha256Hex(KEY_BEYOND_ASCII)), 1,
						1000, 1000, 1000, 10_000)));
		resources.add(resource(ResourceKind.MODEL_GROUP, "chat", new ModelGroupSpec("chat", 1, 1, 0, 0, null)));
		resources.add(resource(ResourceKind.SERVICE, "desk", new ServiceSpec("front desk")));
		String agentAddress = Addresses.render(this.agent.address());
		for (int i = 0; i < SERVERS; i++) {
			resources.add(resource(ResourceKind.BACKEND_SERVER, "server-" + i,
					new BackendServerSpec("casa", agentAddress, agentAddress, List.of("chat", "desk"), null)));
		}
		return new Snapshot(EraRevision.ofLong(1), ResourceSet.of(resources), ResourceSet.EMPTY, Map.of());
	}

	private static Resource resource(ResourceKind kind, String name, ResourceSpec spec) {
		return new Resource(new ResourceKey(kind, name), 1, EraRevision.ofLong(1), spec);
	}

	private static AgentReport report(String name) {
		AgentReport report = new AgentReport();
		report.setAgentName(name);
		report.setIncarnation(1);
		report.setConcurrencyLimit(8);
		return report;
	}

	/** Says what the next connection to the agent meets. */
	EntryFixture meets(ScriptedPeer.Script script) {
		this.agent.next(script);
		return this;
	}

	/** Suspects all servers, as after a pause of this entry. */
	void suspectAll() {
		onLoop(this.servers::suspectSilent);
	}

	ScriptedPeer agent() {
		return this.agent;
	}

	/** Ticks once: the time that follows is a pause of the entry. */
	void beginPause() {
		onLoop(() -> this.servers.attentive().tick(this.clock.nowMillis()));
	}

	CallerHandler handler() {
		return this.handler;
	}

	HttpServer server() {
		return this.server;
	}

	DataLoop loop() {
		return this.loop;
	}

	/** Asks for a generated answer on a connection of its own. */
	CallerAnswer generate() throws IOException {
		try (Socket socket = connect()) {
			return generate(socket);
		}
	}

	CallerAnswer generate(Socket socket) throws IOException {
		String body = "{\"prompt\":\"p\",\"maxTokens\":2}";
		send(socket, "POST /v1/models/chat/generate HTTP/1.1\r\n", body, "");
		return CallerAnswer.read(socket.getInputStream());
	}

	/** Asks the plain service on a connection of its own. */
	CallerAnswer get(String path) throws IOException {
		try (Socket socket = connect()) {
			return get(socket, path, "");
		}
	}

	/** Asks the plain service with a key in UTF-8. */
	CallerAnswer getWithKey(String path, String key) throws IOException {
		try (Socket socket = connect()) {
			send(socket, "GET /v1/services/desk" + path + " HTTP/1.1\r\n", key, "", "");
			return CallerAnswer.read(socket.getInputStream());
		}
	}

	CallerAnswer get(Socket socket, String path, String headers) throws IOException {
		send(socket, "GET /v1/services/desk" + path + " HTTP/1.1\r\n", "", headers);
		return CallerAnswer.read(socket.getInputStream());
	}

	/** Asks the plain service for work that must run at most once. */
	CallerAnswer charge(Socket socket, String headers) throws IOException {
		send(socket, "POST /v1/services/desk/charge HTTP/1.1\r\n", "{}", headers);
		return CallerAnswer.read(socket.getInputStream());
	}

	Socket connect() throws IOException {
		Socket socket = new Socket(this.address.getAddress(), this.address.getPort());
		socket.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
		return socket;
	}

	private static void send(Socket socket, String line, String body, String headers) throws IOException {
		send(socket, line, KEY, body, headers);
	}

	private static void send(Socket socket, String line, String key, String body, String headers) throws IOException {
		String text = line + "Host: test\r\nAuthorization: Bearer " + key + "\r\n" + headers + "Content-Length: "
				+ body.length() + "\r\n\r\n" + body;
		socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
	}

	void onLoop(Runnable task) {
		CompletableFuture<Void> done = new CompletableFuture<>();
		this.loop.run(() -> {
			task.run();
			done.complete(null);
		});
		done.join();
	}

	@Override
	public void close() {
		this.claims.close();
		this.server.close();
		this.client.close();
		this.loop.close();
		this.agent.close();
	}

	/**
	 * A platform that is away.
	 */
	private static final class AwayStore implements ObjectStore {

		@Override
		public ListResult list(String prefix) {
			return new ListResult.Away("script");
		}

		@Override
		public WatchResult watch(String prefix, EraRevision afterRevision, long waitMillis) {
			return new WatchResult.Away("script");
		}

		@Override
		public GetResult get(String key) {
			return new GetResult.Away("script");
		}

		@Override
		public WriteResult put(String key, EraRevision expectedRevision, JsonNode value) {
			return new WriteResult.NotWritten("script");
		}

		@Override
		public WriteResult delete(String key, EraRevision expectedRevision) {
			return new WriteResult.NotWritten("script");
		}

	}

}
