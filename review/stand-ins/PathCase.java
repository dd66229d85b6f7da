import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Sends requests whose paths have dot segments, and compares what servers run with what was sent. */
final class PathCase {

	private static final String HOST = "ficu95.example";

	private static final String KEY = "n2ctnfzs989anu6wsjnb";

	private static final List<Sent> PLAIN = List.of(new Sent("/desk/v1/cards", true, 200),
			new Sent("/desk/v1.2/cards?x=/../1", true, 200), new Sent("/info/hours", false, 200),
			new Sent("/desk/cards", false, 401));

	/** The last one has no key, and the path that a server runs belongs to a route that asks for one. */
	private static final List<Sent> DOTTED = List.of(new Sent("/desk/v1/./cards", true, 200),
			new Sent("/desk/v1/../cards?x=1", true, 200), new Sent("/info/hours/.", false, 200),
			new Sent("/info/../desk/cards", false, 200));

	private PathCase() {
	}

	public static void main(String[] arguments) {
		Path record = Path.of(arguments[0]);
		Path temporary = Path.of(arguments[1]);
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		int result = 2;
		try (PrintWriter out = new PrintWriter(Files.newBufferedWriter(record)); Store store = new Store()) {
			result = run(out, store, temporary, trouble);
		}
		catch (Throwable ex) {
			ex.printStackTrace();
		}
		System.exit(result);
	}

	private static int run(PrintWriter out, Store store, Path temporary, boolean trouble) throws Exception {
		store.put("config", "main", configuration());
		try (Server first = new Server("i-desk0001", "desk", 20); Server second = new Server("i-desk0002", "desk", 20);
				Gateway near = new Gateway("front-a-1", temporary); Gateway far = new Gateway("front-b-1", temporary)) {
			first.register(store, "zone-a");
			second.register(store, "zone-b");
			near.start("zone-a", store.address(), List.of(near, far));
			far.start("zone-b", store.address(), List.of(near, far));
			if (!near.awaitReady(30_000) || !far.awaitReady(30_000)) {
				out.println("a gateway did not become ready");
				return 2;
			}
			int wrong = 0;
			int number = 0;
			int answered = 0;
			for (Sent sent : trouble ? DOTTED : PLAIN) {
				for (Gateway gateway : List.of(near, far)) {
					String attempt = String.format("%016x", ++number);
					int status = Client.status(send(gateway, sent, attempt));
					answered += (status == sent.status) ? 1 : 0;
					out.println("sent     " + attempt + " POST " + sent.target + (sent.withKey ? " with" : " without")
							+ " a key to " + gateway.name);
					out.println("answered " + attempt + " " + status);
					List<Server.Run> runs = new ArrayList<>(first.runs);
					runs.addAll(second.runs);
					for (Server.Run run : runs) {
						if (run.attempt().equals(attempt)) {
							boolean same = run.target().equals(sent.target) && run.method().equals("POST");
							wrong += same ? 0 : 1;
							out.println("run      " + attempt + " " + run.method() + " " + run.target() + " for tenant "
									+ run.tenant() + (same ? "" : "   UNASKED: the path was changed"));
						}
					}
				}
			}
			out.println(number + " sent, " + wrong + " run with a changed path");
			if (!trouble && answered != number) {
				return 2;
			}
			return (wrong > 0) ? 1 : 0;
		}
	}

	private static Message send(Gateway gateway, Sent sent, String attempt) {
		Map<String, String> headers = new HashMap<>();
		headers.put("Host", HOST);
		headers.put("X-Attempt-Id", attempt);
		if (sent.withKey) {
			headers.put("Authorization", "Bearer " + KEY);
		}
		return Client.send(gateway.callers, "POST", sent.target, headers, "hello".getBytes(), 4000);
	}

	/** A request, and the status that it has to get without trouble. */
	private record Sent(String target, boolean withKey, int status) {
	}

	private static ObjectNode configuration() {
		ObjectNode config = Store.JSON.createObjectNode().put("version", 3);
		ArrayNode routes = config.putArray("routes");
		route(routes, "r-desk", "/desk/", "desk", false);
		route(routes, "r-info", "/info/", "desk", true);
		ArrayNode services = config.putArray("services");
		services.addObject()
			.put("name", "desk")
			.put("healthPath", "/health")
			.put("maxConns", 110)
			.put("protocol", "h1")
			.put("tls", false);
		config.putObject("limits")
			.put("maxHeaderBytes", 16384)
			.put("maxBodyBytes", 4194304)
			.put("headerTimeoutMs", 3000)
			.put("idleTimeoutMs", 15000);
		config.putArray("tenants").addObject().put("name", "hule930").putArray("apiKeys").add(KEY);
		return config;
	}

	private static void route(ArrayNode routes, String name, String prefix, String service, boolean open) {
		routes.addObject()
			.put("name", name)
			.put("host", HOST)
			.put("pathPrefix", prefix)
			.put("kind", "non_idempotent")
			.put("timeoutMs", 4000)
			.put("latencyTargetMs", 400)
			.put("priority", 1)
			.put("service", service)
			.put("maxAttempts", 1)
			.put("public", open);
	}

}
