package org.snowwind.app.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

import org.snowwind.app.harness.Link;
import org.snowwind.app.harness.Ports;
import org.snowwind.app.harness.SnowwindProcess;

/**
 * One gateway as a process, with a link of its own to the store.
 */
final class SoakGateway implements AutoCloseable {

	/** How long it may take to stop, in seconds; as on the users' platform. */
	static final int GRACE_SECONDS = 8;

	/** Within which an evacuation must be in force, in milliseconds. */
	static final int EVACUATION_MILLIS = 2000;

	/** The memory of the VM, as on the users' platform, in megabytes. */
	private static final int VM_MEGABYTES = 430;

	private final String name;

	private final Path folder;

	private final Link toStore;

	private final int callersPort = Ports.free();

	private final int readinessPort = Ports.free();

	private final int peersPort = Ports.free();

	private final int adminPort = Ports.free();

	private SnowwindProcess process;

	private int starts;

	private long startedNanos;

	private int grace = GRACE_SECONDS;

	private final List<String> features;

	SoakGateway(String name, Path folder, InetSocketAddress store, List<String> features) throws IOException {
		this.name = name;
		this.features = List.copyOf(features);
		this.folder = folder;
		this.toStore = new Link(store);
	}

	String name() {
		return this.name;
	}

	Link toStore() {
		return this.toStore;
	}

	String callers() {
		return "127.0.0.1:" + this.callersPort;
	}

	String readiness() {
		return "127.0.0.1:" + this.readinessPort;
	}

	String peers() {
		return "127.0.0.1:" + this.peersPort;
	}

	String admin() {
		return "127.0.0.1:" + this.adminPort;
	}

	SnowwindProcess process() {
		return this.process;
	}

	void writeSettings(List<String> seeds) throws IOException {
		String listed = String.join("\", \"", seeds);
		Files.writeString(settings(), """
				name = "%s"
				data_centre = "dc"
				features = ["%s"]
				[listen]
				callers = "%s"
				readiness = "%s"
				peers = "%s"
				admin = "127.0.0.1:%d"
				[peers]
				seeds = ["%s"]
				[platform]
				address = "%s"
				[stop]
				grace_seconds = %d
				[retries]
				fraction = 0.2
				extra = 90
				window_seconds = 10
				[evacuation]
				in_force_millis = %d
				[vm]
				memory_megabytes = %d
				""".formatted(this.name, String.join("\", \"", this.features), callers(), readiness(), peers(),
				this.adminPort, listed, this.toStore.address(), this.grace, EVACUATION_MILLIS, VM_MEGABYTES));
	}

	private Path settings() {
		return this.folder.resolve(this.name + ".toml");
	}

	void start() throws IOException {
		start(Map.of());
	}

	void start(Map<String, String> environment) throws IOException {
		this.starts++;
		this.startedNanos = System.nanoTime();
		this.process = SnowwindProcess.deployedGateway(this.folder.resolve(this.name + "-" + this.starts + ".log"),
				settings(), environment);
	}

	/**
	 * Tells since when its process runs.
	 * @return when it was started, by the clock of this process
	 */
	long startedNanos() {
		return this.startedNanos;
	}

	void hangUp(List<String> seeds) throws IOException, InterruptedException {
		this.grace = GRACE_SECONDS + this.starts % 2;
		writeSettings(seeds);
		this.process.hangUp();
	}

	@Override
	public void close() throws IOException {
		this.process.close();
		this.toStore.close();
	}

}
