package org.snowwind.app.harness;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import org.apache.commons.codec.digest.DigestUtils;
import org.snowwind.app.load.CallKind;
import org.snowwind.app.load.CallPlan;
import org.snowwind.app.load.Caller;
import org.snowwind.app.load.PromiseCheck;
import org.snowwind.app.trial.InForceWait;
import org.snowwind.http.DataLoop;
import org.snowwind.http.client.JsonClient;
import org.snowwind.model.Json;
import org.snowwind.operator.OperatorAnswer;
import org.snowwind.operator.OperatorClient;
import org.snowwind.standin.EngineSettings;
import org.snowwind.standin.StandInEngine;
import org.snowwind.standin.StandInPlainService;
import org.snowwind.standin.StandInPlatform;

/**
 * Entries and agents as real processes before stand-ins in the test's own, over links
 * that can be cut.
 */
public final class ProcessFleet implements AutoCloseable {

	/** Calls as this organisation. */
	public static final Caller ATLAS = new Caller("atlas-forme", "atlas-key");

	/** Calls as the other organisation. */
	public static final Caller ADEGA = new Caller("adega", "adega-key");

	/** A charge that must run at most once. */
	public static final CallPlan CHARGE = new CallPlan(CallKind.CHARGE, "chat", "desk", 0, 0, 4000);

	/** A generated answer. */
	public static final CallPlan GENERATE = new CallPlan(CallKind.GENERATE, "chat", "desk", 60, 50, 15_000);

	private static final long START_TIMEOUT_MILLIS = 30_000;

	private static final long POLL_MILLIS = 50;

	private final Path folder;

	private final DataLoop loop = new DataLoop("standins");

	private final StandInPlatform platform = new StandInPlatform(this.loop);

	private final Link platformLink;

	private final Map<String, StandInEngine> engines = new LinkedHashMap<>();

	private final Map<String, StandInPlainService> services = new LinkedHashMap<>();

	private final Map<String, Node> nodes = new LinkedHashMap<>();

	private final List<Map<String, Object>> servers = new ArrayList<>();

	/**
	 * Starts the platform.
	 * @param folder where settings and logs go
	 * @throws IOException if no port is free
	 */
	public ProcessFleet(Path folder) throws IOException {
		this.folder = folder;
		this.platformLink = new Link(this.platform.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)));
	}

	/**
	 * Starts a plain service with its agent.
	 * @param name the server's name
	 * @return the service
	 * @throws IOException if the agent cannot be started
	 */
	public StandInPlainService service(String name) throws IOException {
		StandInPlainService service = new StandInPlainService(this.loop);
		this.services.put(name, service);
		agent(name, "desk", "plain", service.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)));
		return service;
	}

	/**
	 * Starts an engine with its agent.
	 * @param name the server's name
	 * @return the engine
	 * @throws IOException if the agent cannot be started
	 */
	public StandInEngine engine(String name) throws IOException {
		StandInEngine engine = new StandInEngine(this.loop, EngineSettings.DEFAULT);
		this.engines.put(name, engine);
		agent(name, "chat", "engine", engine.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)));
		return engine;
	}

	private void agent(String name, String target, String kind, InetSocketAddress backend) throws IOException {
		int requests = Ports.free();
		int control = Ports.free();
		int admin = Ports.free();
		String settings = """
				name = "%s"
				data_centre = "casa"
				[listen]
				requests = "127.0.0.1:%d"
				control = "127.0.0.1:%d"
				admin = "127.0.0.1:%d"
				[fleet]
				credential = "proof"
				[[backend]]
				target = "%s"
				kind = "%s"
				address = "127.0.0.1:%d"
				""".formatted(name, requests, control, admin, target, kind, backend.getPort());
		Node node = start(name, "agent", settings, admin, requests, control);
		this.servers.add(Map.of("kind", "BackendServer", "name", name, "spec", Map.of("dataCentre", "casa", "address",
				node.requests().address(), "controlAddress", node.control().address(), "targets", List.of(target))));
	}

	/**
	 * Starts an entry.
	 * @param name its name
	 * @param seeds names of entries that it is told of
	 * @throws IOException if it cannot be started
	 */
	public void entry(String name, String... seeds) throws IOException {
		int callers = Ports.free();
		int operators = Ports.free();
		int control = Ports.free();
		int admin = Ports.free();
		List<String> seedAddresses = new ArrayList<>();
		for (String seed : seeds) {
			seedAddresses.add('"' + this.nodes.get(seed).control().address() + '"');
		}
		String settings = """
				name = "%s"
				data_centre = "casa"
				[listen]
				callers = "127.0.0.1:%d"
				operators = "127.0.0.1:%d"
				control = "127.0.0.1:%d"
				admin = "127.0.0.1:%d"
				[platform]
				url = "http://%s"
				[fleet]
				credential = "proof"
				operator_token = "proof-operator"
				seed_entries = [%s]
				[timing]
				heartbeat_millis = 200
				balancer_grace_millis = 1000
				stream_stall_millis = 1500
				""".formatted(name, callers, operators, control, admin, this.platformLink.address(),
				String.join(", ", seedAddresses));
		start(name, "entry", settings, admin, callers, control, operators);
	}

	private Node start(String name, String role, String settings, int admin, int... ports) throws IOException {
		Path file = this.folder.resolve(name + ".toml");
		Files.writeString(file, settings);
		SnowwindProcess process = new SnowwindProcess(this.folder.resolve(name + ".log"), role, file.toString());
		Link requests = new Link(new InetSocketAddress(InetAddress.getLoopbackAddress(), ports[0]));
		Link control = new Link(new InetSocketAddress(InetAddress.getLoopbackAddress(), ports[1]));
		int operators = (ports.length > 2) ? ports[2] : 0;
		Node node = new Node(role, file, process, requests, control, admin, operators);
		this.nodes.put(name, node);
		return node;
	}

	/**
	 * Starts a stopped node again with its settings.
	 * @param name its name
	 * @throws IOException if it cannot be started
	 */
	public void restart(String name) throws IOException {
		Node old = this.nodes.get(name);
		SnowwindProcess process = new SnowwindProcess(this.folder.resolve(name + "-again.log"), old.role(),
				old.settings().toString());
		this.nodes.put(name, new Node(old.role(), old.settings(), process, old.requests(), old.control(), old.admin(),
				old.operators()));
	}

	/**
	 * Returns a node.
	 * @param name its name
	 * @return the node
	 */
	public Node node(String name) {
		return this.nodes.get(name);
	}

	/**
	 * Returns the platform.
	 * @return the stand-in
	 */
	public StandInPlatform platform() {
		return this.platform;
	}

	/**
	 * Returns the link to the platform.
	 * @return the link of all entries
	 */
	public Link platformLink() {
		return this.platformLink;
	}

	/**
	 * Returns the URL for callers of an entry.
	 * @param entry its name
	 * @return the URL
	 */
	public String callerUrl(String entry) {
		return "http://" + node(entry).requests().address();
	}

	/**
	 * Calls the resource API of an entry.
	 * @param entry its name
	 * @return a client to be closed
	 */
	public OperatorClient operator(String entry) {
		return new OperatorClient("127.0.0.1:" + node(entry).operators(), "proof-operator");
	}

	/**
	 * Declares everything and waits until it is in force.
	 * @param entry the entry that is asked
	 * @throws InterruptedException if the waiting thread is interrupted
	 */
	public void declare(String entry) throws InterruptedException {
		List<JsonNode> resources = new ArrayList<>();
		resources.add(organisation(ATLAS));
		resources.add(organisation(ADEGA));
		resources.add(resource("ModelGroup", "chat", Map.of("model", "chat", "ranks", 1, "layers", 1)));
		resources.add(resource("Service", "desk", Map.of("description", "front desk")));
		resources.add(resource("RoutingPolicy", "desk-policy",
				Map.of("target", "desk", "budgetMillis", 4000, "routes", List.of(Map.of("method", "POST", "pathPrefix",
						"/charge", "repeatable", false, "callerMayLoosen", false)))));
		this.servers.forEach((server) -> resources.add(Json.MAPPER.valueToTree(server)));
		try (OperatorClient client = operator(entry)) {
			boolean applied = eventually(() -> client.apply(resources, false) instanceof OperatorAnswer.Done);
			if (!applied || !InForceWait.await(client, resources, START_TIMEOUT_MILLIS)) {
				throw new IllegalStateException("not in force: " + client.list("BackendServer"));
			}
		}
	}

	private static JsonNode organisation(Caller caller) {
		return resource("Organisation", caller.organisation(), Map.of("keyDigests",
				List.of(DigestUtils.sha256Hex(caller.key())), "requestsPerSecond", 1000, "burstRequests", 1000));
	}

	/**
	 * Makes a resource.
	 * @param kind its kind
	 * @param name its name
	 * @param spec its specification
	 * @return an object with kind, name and spec
	 */
	public static JsonNode resource(String kind, String name, Map<String, Object> spec) {
		return Json.MAPPER.valueToTree(Map.of("kind", kind, "name", name, "spec", spec));
	}

	/**
	 * Adds up the effects at all plain services.
	 * @return how often each tag had its effect
	 */
	public Map<String, Integer> effects() {
		return PromiseCheck.sum(this.services.values().stream().map(StandInPlainService::effects).toList());
	}

	/**
	 * Asks whether an entry takes requests.
	 * @param entry its name
	 * @return true if it says that it is ready
	 */
	public boolean ready(String entry) {
		try (JsonClient client = new JsonClient(Map.of(), 500)) {
			return client.call("GET", "http://127.0.0.1:" + node(entry).admin() + "/readyz", Map.of(), null, 1000)
				.status() == 200;
		}
		catch (IOException ex) {
			// "ready" is plain text, which is an answer although it is no JSON.
			return String.valueOf(ex.getMessage()).contains("ready");
		}
	}

	/**
	 * Waits, with a bound that only a real failure reaches, for something to become true.
	 * @param condition what is waited for
	 * @return true if it came true
	 * @throws InterruptedException if the waiting thread is interrupted
	 */
	public static boolean eventually(Callable<Boolean> condition) throws InterruptedException {
		long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_TIMEOUT_MILLIS);
		while (System.nanoTime() < untilNanos) {
			try {
				if (condition.call()) {
					return true;
				}
			}
			catch (Exception ex) {
				throw new IllegalStateException(ex);
			}
			TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
		}
		return false;
	}

	// Below the range from which the system takes the ports of outgoing connections, so
	// that
	// nobody takes the port between this look and the process's start.
	@Override
	public void close() throws IOException {
		for (Node node : this.nodes.values()) {
			node.process().close();
			node.requests().close();
			node.control().close();
		}
		this.platformLink.close();
		this.engines.values().forEach(StandInEngine::close);
		this.services.values().forEach(StandInPlainService::close);
		this.platform.close();
		this.loop.close();
	}

	/**
	 * A process of the fleet.
	 *
	 * @param role {@code entry} or {@code agent}
	 * @param settings its settings file
	 * @param process the process
	 * @param requests the link to its port for requests
	 * @param control the link to its control port
	 * @param admin its admin port
	 * @param operators its port for operators, 0 for an agent
	 */
	public record Node(String role, Path settings, SnowwindProcess process, Link requests, Link control, int admin,
			int operators) {

	}

}
