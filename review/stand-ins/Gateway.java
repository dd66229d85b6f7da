import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A gateway as a process of its own, started with the command of the deploy file. */
final class Gateway implements AutoCloseable {

	final String name;

	final int callers = freePort();

	final int readiness = freePort();

	final int peers = freePort();

	private final int admin = freePort();

	private final Path directory;

	private Process process;

	Gateway(String name, Path directory) throws IOException {
		this.name = name;
		this.directory = directory;
	}

	static int freePort() throws IOException {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
			return socket.getLocalPort();
		}
	}

	/** Starts the process with the settings that platform/gateway.toml gives for a small deployment. */
	void start(String zone, String storeAddress, List<Gateway> seeds) throws IOException {
		List<String> seedTexts = new ArrayList<>();
		seeds.forEach((seed) -> seedTexts.add("\"127.0.0.1:" + seed.peers + "\""));
		String settings = String.join("\n", "name = \"" + this.name + "\"", "data_centre = \"" + zone + "\"",
				"features = [\"base\", \"drain\", \"config\", \"cost\", \"retry\", \"recover\", \"engine\", \"stream\","
						+ " \"tenants\", \"platform\", \"experts\"]",
				"[listen]", "callers = \"127.0.0.1:" + this.callers + "\"",
				"readiness = \"127.0.0.1:" + this.readiness + "\"", "peers = \"127.0.0.1:" + this.peers + "\"",
				"admin = \"127.0.0.1:" + this.admin + "\"", "[peers]", "seeds = [" + String.join(",", seedTexts) + "]",
				"[platform]", "address = \"" + storeAddress + "\"", "stable_millis = 3000", "history_seconds = 20",
				"[stop]", "grace_seconds = 8", "[retries]", "fraction = 0.2", "extra = 92", "window_seconds = 10",
				"[configuration]", "in_force_millis = 2000", "[servers]", "drain_millis = 2000", "[vm]",
				"memory_megabytes = 430", "[log]", "format = \"json\"", "");
		Path file = this.directory.resolve(this.name + ".toml");
		Files.writeString(file, settings);
		List<String> command = new ArrayList<>();
		for (String word : runLine().split(" ")) {
			command.add(word.equals("/etc/snowwind/local.yaml") ? file.toString() : word);
		}
		this.process = new ProcessBuilder(command).redirectErrorStream(true)
			.redirectOutput(this.directory.resolve(this.name + ".log").toFile())
			.start();
		// A script that is ended from outside leaves no process behind.
		Runtime.getRuntime().addShutdownHook(new Thread(this.process::destroyForcibly));
	}

	private static String runLine() throws IOException {
		Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$")
			.matcher(Files.readString(new File("deploy/system.toml").toPath()));
		if (!run.find()) {
			throw new IOException("deploy/system.toml has no run line");
		}
		return run.group(1);
	}

	boolean awaitReady(long mostMillis) throws IOException, InterruptedException {
		long untilNanos = System.nanoTime() + 1_000_000 * mostMillis;
		while (System.nanoTime() < untilNanos && this.process.isAlive()) {
			if (isReady()) {
				return true;
			}
			Thread.sleep(50);
		}
		return false;
	}

	boolean isReady() {
		try {
			HttpURLConnection call = (HttpURLConnection) new URL("http://127.0.0.1:" + this.readiness + "/api/readiness")
				.openConnection();
			call.setConnectTimeout(1000);
			call.setReadTimeout(1000);
			return call.getResponseCode() == 200;
		}
		catch (IOException ex) {
			return false;
		}
	}

	boolean isAlive() {
		return this.process.isAlive();
	}

	long pid() {
		return this.process.pid();
	}

	/** Sends a signal to the process that this object started. */
	void signal(String signal) throws IOException, InterruptedException {
		new ProcessBuilder("kill", "-" + signal, Long.toString(pid())).start().waitFor();
	}

	String log() throws IOException {
		return Files.readString(this.directory.resolve(this.name + ".log"), StandardCharsets.UTF_8);
	}

	@Override
	public void close() throws InterruptedException {
		if (this.process != null) {
			this.process.destroyForcibly();
			this.process.waitFor(5, TimeUnit.SECONDS);
		}
	}

}
