import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The platform's store: objects by kind and name, one revision, lists, watches, and writes
 * under a condition. It answers at once and loses nothing.
 */
final class Store {

	private final ServerSocket listener;

	private final TreeMap<String, TreeMap<String, Map<String, Object>>> kinds = new TreeMap<>();

	private final List<Change> history = new ArrayList<>();

	private long revision = 1;

	private record Change(long revision, String kind, Map<String, Object> object, boolean deleted) {
	}

	Store() throws IOException {
		this.listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
		Rig.daemon("store", () -> {
			while (true) {
				Socket caller = this.listener.accept();
				Rig.daemon("store call", () -> serve(caller));
			}
		});
	}

	int port() {
		return this.listener.getLocalPort();
	}

	private void serve(Socket caller) throws Exception {
		try (caller) {
			BufferedInputStream in = new BufferedInputStream(caller.getInputStream());
			while (true) {
				Http.Message request = Http.read(in, false);
				Answer answer = answer(request);
				caller.getOutputStream()
					.write(Http.message("HTTP/1.1 " + answer.status + " X", Map.of("Content-Type", "application/json"),
							Json.write(answer.body).getBytes(StandardCharsets.UTF_8)));
			}
		}
		catch (IOException ex) {
			// The caller has left.
		}
	}

	private record Answer(int status, Object body) {
	}

	private Answer answer(Http.Message request) throws InterruptedException {
		String target = request.word(1);
		int mark = target.indexOf('?');
		Map<String, String> query = new LinkedHashMap<>();
		if (mark >= 0) {
			for (String pair : target.substring(mark + 1).split("&")) {
				String[] parts = pair.split("=", 2);
				query.put(parts[0], URLDecoder.decode((parts.length > 1) ? parts[1] : "", StandardCharsets.UTF_8));
			}
		}
		String[] path = ((mark < 0) ? target : target.substring(0, mark)).substring("/api/objects/".length()).split("/");
		String name = (path.length > 1) ? URLDecoder.decode(path[1], StandardCharsets.UTF_8) : null;
		Map<String, Object> body = (request.body().length > 0) ? Json.map(Json.read(request.text())) : Json.of();
		return switch (request.word(0)) {
			case "GET" -> (name != null) ? get(path[0], name)
					: query.containsKey("watch") ? watch(path[0], query) : list(path[0]);
			case "POST" -> create(path[0], body);
			case "PUT" -> put(path[0], name, body, path.length > 2);
			default -> delete(path[0], name, query);
		};
	}

	private synchronized Answer get(String kind, String name) {
		Map<String, Object> object = objects(kind).get(name);
		return (object != null) ? new Answer(200, object) : new Answer(404, Json.of("error", "none"));
	}

	private synchronized Answer list(String kind) {
		return new Answer(200, Json.of("items", new ArrayList<>(objects(kind).values()), "hasMore", false,
				"storeRevision", this.revision));
	}

	private synchronized Answer watch(String kind, Map<String, String> query) throws InterruptedException {
		long after = Long.parseLong(query.get("watch"));
		long until = System.currentTimeMillis() + Long.parseLong(query.getOrDefault("waitMs", "0"));
		while (true) {
			List<Object> events = new ArrayList<>();
			for (Change change : this.history) {
				if (change.revision > after && change.kind.equals(kind)) {
					events.add(Json.of("object", change.object, "deleted", change.deleted));
				}
			}
			long left = until - System.currentTimeMillis();
			if (!events.isEmpty() || left <= 0) {
				return new Answer(200, Json.of("events", events, "storeRevision", this.revision));
			}
			wait(left);
		}
	}

	private synchronized Answer create(String kind, Map<String, Object> body) {
		String name = (String) Json.map(body.get("metadata")).get("name");
		if (objects(kind).containsKey(name)) {
			return new Answer(409, objects(kind).get(name));
		}
		return new Answer(201, change(kind, name, body.get("spec"), null, false));
	}

	private synchronized Answer put(String kind, String name, Map<String, Object> body, boolean status) {
		Map<String, Object> before = objects(kind).get(name);
		if (before == null) {
			return new Answer(404, Json.of("error", "none"));
		}
		Object asked = (body.get("metadata") != null) ? Json.map(body.get("metadata")).get("rev") : null;
		if (asked != null && !asked.equals(Json.map(before.get("metadata")).get("rev"))) {
			return new Answer(409, before);
		}
		Object spec = status ? before.get("spec") : body.get("spec");
		if (!status && Json.write(spec).equals(Json.write(before.get("spec")))) {
			return new Answer(200, before);
		}
		return new Answer(200, change(kind, name, spec, status ? body.get("status") : before.get("status"), false));
	}

	private synchronized Answer delete(String kind, String name, Map<String, String> query) {
		Map<String, Object> before = objects(kind).get(name);
		if (before == null) {
			return new Answer(404, Json.of("error", "none"));
		}
		String asked = query.get("rev");
		if (asked != null && !asked.equals(String.valueOf(Json.map(before.get("metadata")).get("rev")))) {
			return new Answer(409, before);
		}
		return new Answer(200, change(kind, name, before.get("spec"), before.get("status"), true));
	}

	private TreeMap<String, Map<String, Object>> objects(String kind) {
		return this.kinds.computeIfAbsent(kind, (key) -> new TreeMap<>());
	}

	private Map<String, Object> change(String kind, String name, Object spec, Object status, boolean deleted) {
		Map<String, Object> before = objects(kind).get(name);
		this.revision++;
		Object created = (before != null) ? Json.map(before.get("metadata")).get("createdRev") : this.revision;
		Map<String, Object> object = Json.of("metadata", Json.of("name", name, "rev", this.revision, "createdRev",
				created, "finalizers", List.of(), "deleting", false), "spec", spec, "status",
				(status != null) ? status : Json.of());
		if (deleted) {
			objects(kind).remove(name);
		}
		else {
			objects(kind).put(name, object);
		}
		this.history.add(new Change(this.revision, kind, object, deleted));
		notifyAll();
		return object;
	}

	/** What the operator or a server writes, without a condition. */
	synchronized void write(String kind, String name, Object spec) {
		change(kind, name, spec, null, false);
	}

	synchronized void remove(String kind, String name) {
		if (objects(kind).containsKey(name)) {
			change(kind, name, null, null, true);
		}
	}

}
