import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

/** Callers send the same idempotent request all the time, while one server in seven crashes, three times. */
final class CrashCase {

	private static final String HOST = "ficu95.example";

	private static final String KEY = "n2ctnfzs989anu6wsjnb";

	private static final int SERVERS = 7;

	private static final int CALLERS = 35;

	private static final int CRASHES = 3;

	/** With LENGTHS=1 the answers of servers have a length instead of chunks. */
	private static final boolean CHUNKED = !"1".equals(System.getenv("LENGTHS"));

	private static final long DOWN_MILLIS = 4500;

	private static final long ENTRY_EXPIRES_MILLIS = 3600;

	private static final int DEADLINE_MILLIS = 4000;

	private final PrintWriter out;

	private final Store store;

	private final List<Server> servers = new CopyOnWriteArrayList<>();

	private final TreeMap<Integer, Integer> statuses = new TreeMap<>();

	private final AtomicLong attempts = new AtomicLong();

	private final long beganNanos = System.nanoTime();

	private CrashCase(PrintWriter out, Store store) {
		this.out = out;
		this.store = store;
	}

	public static void main(String[] arguments) {
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		int result = 2;
		try (PrintWriter out = new PrintWriter(Files.newBufferedWriter(Path.of(arguments[0])));
				Store store = new Store()) {
			result = new CrashCase(out, store).run(Path.of(arguments[1]), trouble);
		}
		catch (Throwable ex) {
			ex.printStackTrace();
		}
		System.exit(result);
	}

	private int run(Path temporary, boolean trouble) throws Exception {
		this.store.put("config", "main", configuration());
		for (int i = 1; i <= SERVERS; i++) {
			startServer("i-desk" + i);
		}
		try (Gateway first = new Gateway("front-a-1", temporary); Gateway second = new Gateway("front-b-1", temporary)) {
			first.start("zone-a", this.store.address(), List.of(first, second));
			second.start("zone-b", this.store.address(), List.of(first, second));
			if (!first.awaitReady(30_000) || !second.awaitReady(30_000)) {
				log("a gateway did not become ready");
				return 2;
			}
			AtomicBoolean ended = new AtomicBoolean();
			List<Thread> callers = new ArrayList<>();
			for (int i = 0; i < CALLERS; i++) {
				int port = (i % 2 == 0) ? first.callers : second.callers;
				Thread caller = new Thread(() -> call(port, ended));
				caller.start();
				callers.add(caller);
			}
			Thread.sleep(3000);
			for (int i = 1; i <= CRASHES; i++) {
				crash(i, trouble);
			}
			Thread.sleep(8000);
			ended.set(true);
			for (Thread caller : callers) {
				caller.join();
			}
			return result();
		}
	}

	private void startServer(String id) throws Exception {
		Server server = new Server(id, "desk", 200, CHUNKED);
		server.register(this.store, "zone-a");
		this.servers.add(server);
	}

	private void crash(int number, boolean trouble) throws Exception {
		Server server = this.servers.get(0);
		if (!trouble) {
			Thread.sleep(DOWN_MILLIS + 3000);
			return;
		}
		log("crash    " + server.id + ", " + server.runs.size() + " runs so far");
		server.crash();
		this.servers.remove(server);
		Thread.sleep(ENTRY_EXPIRES_MILLIS);
		this.store.remove("servers", server.id);
		Thread.sleep(DOWN_MILLIS - ENTRY_EXPIRES_MILLIS);
		startServer(server.id + "-" + number);
		Thread.sleep(3000);
	}

	private void call(int port, AtomicBoolean ended) {
		while (!ended.get()) {
			String attempt = String.format("%016x", this.attempts.incrementAndGet());
			Message answer = Client.send(port, "GET", "/desk/board",
					Map.of("Host", HOST, "X-Attempt-Id", attempt, "Authorization", "Bearer " + KEY), new byte[0],
					DEADLINE_MILLIS);
			int status = Client.status(answer);
			boolean own = answer != null && !answer.headers.containsKey("x-server-seal");
			synchronized (this) {
				this.statuses.merge(status, 1, Integer::sum);
				this.out.println(millis() + " " + attempt + " GET /desk/board answered " + status
						+ (own ? " by the gateway" : "")
						+ ((status == 400 && this.statuses.get(400) <= 3) ? " " + new String(answer.body) : ""));
			}
			pause();
		}
	}

	// Callers whose pauses were equal would pause at the same moments.
	private static void pause() {
		try {
			Thread.sleep(ThreadLocalRandom.current().nextLong(10, 90));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private long millis() {
		return (System.nanoTime() - this.beganNanos) / 1_000_000;
	}

	private synchronized void log(String line) {
		this.out.println(millis() + " " + line);
	}

	private int result() {
		long all = this.attempts.get();
		long denied = this.statuses.entrySet()
			.stream()
			.filter((entry) -> entry.getKey() >= 300 && entry.getKey() < 500 && !List.of(408, 421, 429).contains(entry.getKey()))
			.mapToInt(Map.Entry::getValue)
			.sum();
		log("statuses " + this.statuses);
		log("DENIED   " + denied + " of " + all + " requests, allowed are " + (5 + all / 500));
		return (denied > 5 + all / 500) ? 1 : 0;
	}

	private static ObjectNode configuration() {
		ObjectNode config = Store.JSON.createObjectNode().put("version", 3);
		ArrayNode routes = config.putArray("routes");
		routes.addObject()
			.put("name", "r-desk")
			.put("host", HOST)
			.put("pathPrefix", "/desk/")
			.put("kind", "idempotent")
			.put("timeoutMs", 2000)
			.put("latencyTargetMs", 400)
			.put("priority", 1)
			.put("service", "desk")
			.put("maxAttempts", 2)
			.put("public", false);
		config.putArray("services")
			.addObject()
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

}
