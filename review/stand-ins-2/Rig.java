import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** What the cases share: the record, free ports, and the gateways as separate processes. */
final class Rig {

	/** The bounds of a small deployment. */
	static final long CONFIG_MILLIS = 2000;

	static final long BEAT_MILLIS = 1200;

	static final int HELD = 0;

	static final int BROKEN = 1;

	static final int NOT_RUN = 2;

	private static final List<Process> PROCESSES = new ArrayList<>();

	static {
		Runtime.getRuntime().addShutdownHook(new Thread(Rig::endAll));
	}

	private Rig() {
	}

	/** What was sent, answered and run, with the time since the start. */
	static final class Record {

		private final PrintWriter out;

		private final long beganMillis = System.currentTimeMillis();

		/** Keeps nothing. */
		static Record none() {
			return new Record(new PrintWriter(java.io.Writer.nullWriter()));
		}

		private Record(PrintWriter out) {
			this.out = out;
		}

		Record(Path file) throws IOException {
			this(new PrintWriter(Files.newBufferedWriter(file), true));
		}

		synchronized void line(String text) {
			this.out.printf("%8.3f %s%n", (System.currentTimeMillis() - this.beganMillis) / 1000.0, text);
		}

	}

	static void daemon(String name, Callable0 work) {
		Thread thread = new Thread(() -> {
			try {
				work.run();
			}
			catch (Exception ex) {
				// The thread ends with what it served.
			}
		}, name);
		thread.setDaemon(true);
		thread.start();
	}

	interface Callable0 {

		void run() throws Exception;

	}

	static synchronized int freePort() throws IOException {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
			return socket.getLocalPort();
		}
	}

	static void await(String what, long mostMillis, Callable<Boolean> condition) throws Exception {
		long untilMillis = System.currentTimeMillis() + mostMillis;
		while (!condition.call()) {
			if (System.currentTimeMillis() > untilMillis) {
				throw new IllegalStateException("not within " + mostMillis + " ms: " + what);
			}
			Thread.sleep(50);
		}
	}

	/** A gateway, started with the command of the deploy file. */
	record Gateway(Process process, int callers, int readiness, int peers) {

		boolean ready() {
			try {
				return Http.call(this.readiness, "GET", "/api/readiness", Map.of("Host", "127.0.0.1"), null, 1000)
					.status() == 200;
			}
			catch (IOException ex) {
				return false;
			}
		}

	}

	static Gateway gateway(Path folder, String name, int storePort, int graceSeconds, String seeds) throws Exception {
		int[] ports = { freePort(), freePort(), freePort(), freePort() };
		String settings = """
				name = "%s"
				data_centre = "zone-a"
				features = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
				[listen]
				callers = "127.0.0.1:%d"
				readiness = "127.0.0.1:%d"
				peers = "127.0.0.1:%d"
				admin = "127.0.0.1:%d"
				[peers]
				seeds = [%s]
				[platform]
				address = "127.0.0.1:%d"
				stable_millis = 3000
				history_seconds = 20
				[stop]
				grace_seconds = %d
				[retries]
				fraction = 0.2
				extra = 88
				window_seconds = 10
				[configuration]
				in_force_millis = %d
				[servers]
				drain_millis = 2000
				[vm]
				memory_megabytes = 430
				[log]
				format = "json"
				""".formatted(name, ports[0], ports[1], ports[2], ports[3], seeds, storePort, graceSeconds,
				CONFIG_MILLIS);
		Path file = folder.resolve(name + ".toml");
		Files.writeString(file, settings);
		Process process = start(deployCommand(file), folder.resolve(name + ".log"));
		return new Gateway(process, ports[0], ports[1], ports[2]);
	}

	private static List<String> deployCommand(Path settings) throws IOException {
		Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
		if (!run.find()) {
			throw new IOException("the deploy file has no run line");
		}
		List<String> command = new ArrayList<>();
		for (String word : run.group(1).split(" ")) {
			command.add(word.equals("/etc/snowwind/local.yaml") ? settings.toString() : word);
		}
		return command;
	}

	static Process start(List<String> command, Path log) throws IOException {
		Process process = new ProcessBuilder(command).redirectErrorStream(true)
			.redirectOutput(ProcessBuilder.Redirect.to(log.toFile()))
			.redirectInput(new File("/dev/null"))
			.start();
		synchronized (PROCESSES) {
			PROCESSES.add(process);
		}
		return process;
	}

	private static void endAll() {
		synchronized (PROCESSES) {
			PROCESSES.forEach(Process::destroyForcibly);
		}
	}

	static Map<String, String> headers(String attempt, long deadlineMillis, String key) {
		Map<String, String> headers = new LinkedHashMap<>();
		headers.put("Host", "shop.example");
		headers.put("X-Attempt-Id", attempt);
		headers.put("X-Deadline-Ms", String.valueOf(deadlineMillis));
		if (key != null) {
			headers.put("Authorization", "Bearer " + key);
		}
		return headers;
	}

	static boolean troubled() {
		return !"0".equals(System.getenv("TROUBLE"));
	}

	static Map<String, Object> route(String prefix, String service, String kind, long timeoutMillis, int maxAttempts) {
		return Json.of("name", prefix.replace("/", ""), "host", "shop.example", "pathPrefix", prefix, "service",
				service, "kind", kind, "timeoutMs", timeoutMillis, "latencyTargetMs", 200, "priority", 2,
				"maxAttempts", maxAttempts);
	}

	static Map<String, Object> configuration(long version, List<Object> routes, List<Object> services,
			List<Object> tenants) {
		return Json.of("version", version, "routes", routes, "services", services, "tenants", tenants, "limits",
				Json.of("maxHeaderBytes", 16384, "maxBodyBytes", 1 << 20, "headerTimeoutMs", 5000, "idleTimeoutMs",
						10000));
	}

	/** Runs a case and ends with its verdict. */
	static void judge(Path folder, Case played) throws Exception {
		Record record = new Record(folder.resolve("record.txt"));
		Path temporary = Files.createTempDirectory("review");
		int verdict;
		try {
			verdict = played.play(record, temporary);
		}
		catch (Exception ex) {
			record.line("the case could not run: " + ex);
			verdict = NOT_RUN;
		}
		record.line("verdict " + verdict);
		System.out.println("verdict " + verdict);
		endAll();
		if (System.getenv("KEEP") == null) {
			try (var files = Files.list(temporary)) {
				for (Path file : files.toList()) {
					Files.delete(file);
				}
			}
			Files.delete(temporary);
		}
		else {
			System.out.println(temporary);
		}
		Runtime.getRuntime().halt(verdict);
	}

	interface Case {

		int play(Record record, Path temporary) throws Exception;

	}

}
