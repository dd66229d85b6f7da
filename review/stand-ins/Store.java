import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** The platform's metadata store in memory: objects by kind and name, conditional writes and watches. */
final class Store implements AutoCloseable {

	static final ObjectMapper JSON = new ObjectMapper();

	private static final String PATH = "/api/objects/";

	private final HttpServer server;

	private final Map<String, TreeMap<String, ObjectNode>> kinds = new HashMap<>();

	private final List<Change> history = new ArrayList<>();

	private long revision;

	Store() throws IOException {
		this.server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 100);
		this.server.setExecutor(Executors.newCachedThreadPool((task) -> {
			Thread thread = new Thread(task, "store");
			thread.setDaemon(true);
			return thread;
		}));
		this.server.createContext("/", this::handle);
		this.server.start();
	}

	String address() {
		return "127.0.0.1:" + this.server.getAddress().getPort();
	}

	/** Writes an object as the operator or a server does. */
	synchronized long put(String kind, String name, JsonNode spec) {
		ObjectNode before = objects(kind).get(name);
		ObjectNode object = JSON.createObjectNode();
		this.revision++;
		object.putObject("metadata")
			.put("name", name)
			.put("rev", this.revision)
			.put("createdRev", (before != null) ? before.path("metadata").path("createdRev").asLong() : this.revision)
			.put("deleting", false)
			.putArray("finalizers");
		object.set("spec", spec);
		object.putNull("status");
		objects(kind).put(name, object);
		this.history.add(new Change(this.revision, kind, object, false));
		notifyAll();
		return this.revision;
	}

	/** Removes an object, as when the entry of a silent server expires. */
	synchronized void remove(String kind, String name) {
		ObjectNode standing = objects(kind).remove(name);
		if (standing != null) {
			this.revision++;
			this.history.add(new Change(this.revision, kind, standing, true));
			notifyAll();
		}
	}

	private TreeMap<String, ObjectNode> objects(String kind) {
		return this.kinds.computeIfAbsent(kind, (key) -> new TreeMap<>());
	}

	private void handle(HttpExchange exchange) throws IOException {
		try {
			byte[] body = exchange.getRequestBody().readAllBytes();
			Map<String, String> query = new HashMap<>();
			String raw = exchange.getRequestURI().getQuery();
			if (raw != null) {
				for (String part : raw.split("&")) {
					int at = part.indexOf('=');
					query.put(part.substring(0, at), part.substring(at + 1));
				}
			}
			String[] parts = exchange.getRequestURI().getPath().substring(PATH.length()).split("/", 2);
			Answer answer = answer(exchange.getRequestMethod(), parts[0], (parts.length > 1) ? parts[1] : null, query,
					body);
			byte[] bytes = JSON.writeValueAsBytes(answer.body);
			exchange.getResponseHeaders().set("Content-Type", "application/json");
			exchange.sendResponseHeaders(answer.status, bytes.length);
			exchange.getResponseBody().write(bytes);
		}
		catch (RuntimeException | InterruptedException ex) {
			exchange.sendResponseHeaders(400, -1);
		}
		finally {
			exchange.close();
		}
	}

	private synchronized Answer answer(String method, String kind, String name, Map<String, String> query, byte[] body)
			throws IOException, InterruptedException {
		if (method.equals("GET")) {
			if (name != null) {
				ObjectNode object = objects(kind).get(name);
				return (object != null) ? new Answer(200, object) : new Answer(404, JSON.createObjectNode());
			}
			return query.containsKey("watch") ? watch(kind, query) : list(kind);
		}
		JsonNode sent = (body.length > 0) ? JSON.readTree(body) : JSON.createObjectNode();
		String target = (name != null) ? name : sent.path("metadata").path("name").asText();
		ObjectNode standing = objects(kind).get(target);
		if (method.equals("POST")) {
			return (standing != null) ? new Answer(409, standing) : written(201, kind, target, sent.get("spec"));
		}
		String given = query.getOrDefault("rev", sent.path("metadata").path("rev").asText(""));
		if (standing == null) {
			return new Answer(404, JSON.createObjectNode());
		}
		if (!given.isEmpty() && Long.parseLong(given) != standing.path("metadata").path("rev").asLong()) {
			return new Answer(409, standing);
		}
		if (method.equals("DELETE")) {
			this.revision++;
			objects(kind).remove(target);
			this.history.add(new Change(this.revision, kind, standing, true));
			notifyAll();
			return new Answer(200, standing);
		}
		return written(200, kind, target, sent.get("spec"));
	}

	private Answer written(int status, String kind, String name, JsonNode spec) {
		ObjectNode standing = objects(kind).get(name);
		if (standing == null || !standing.get("spec").equals(spec)) {
			put(kind, name, spec);
		}
		return new Answer(status, objects(kind).get(name));
	}

	private Answer list(String kind) {
		ObjectNode answer = JSON.createObjectNode().put("hasMore", false).put("storeRevision", this.revision);
		ArrayNode items = answer.putArray("items");
		objects(kind).values().forEach(items::add);
		return new Answer(200, answer);
	}

	private Answer watch(String kind, Map<String, String> query) throws InterruptedException {
		long after = Long.parseLong(query.get("watch"));
		long untilNanos = System.nanoTime() + 1_000_000 * Long.parseLong(query.getOrDefault("waitMs", "0"));
		List<Change> found = changes(kind, after);
		long leftMillis = (untilNanos - System.nanoTime()) / 1_000_000;
		while (found.isEmpty() && leftMillis > 0) {
			wait(leftMillis);
			found = changes(kind, after);
			leftMillis = (untilNanos - System.nanoTime()) / 1_000_000;
		}
		ObjectNode answer = JSON.createObjectNode().put("storeRevision", this.revision);
		ArrayNode events = answer.putArray("events");
		found.forEach((change) -> events.addObject().put("deleted", change.deleted).set("object", change.object));
		return new Answer(200, answer);
	}

	private List<Change> changes(String kind, long after) {
		return this.history.stream()
			.filter((change) -> change.kind.equals(kind) && change.revision > after)
			.toList();
	}

	@Override
	public void close() {
		this.server.stop(0);
	}

	private record Answer(int status, JsonNode body) {
	}

	private record Change(long revision, String kind, ObjectNode object, boolean deleted) {
	}

}
