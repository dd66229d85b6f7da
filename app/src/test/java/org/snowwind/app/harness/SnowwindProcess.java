package org.snowwind.app.harness;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * One real process of the packaged binary.
 */
public final class SnowwindProcess implements AutoCloseable {

	private static final Path BINARY = Path.of(System.getProperty("snowwind.root"), "app/target/snowwind");

	private static final long STOP_SECONDS = 30;

	private static final Set<Process> RUNNING = ConcurrentHashMap.newKeySet();

	static {
		// A test that is ended itself leaves none behind.
		Runtime.getRuntime().addShutdownHook(new Thread(() -> RUNNING.forEach(Process::destroyForcibly)));
	}

	private final Process process;

	private final Path log;

	/**
	 * Starts a process.
	 * @param log where its output goes
	 * @param arguments the arguments
	 * @throws IOException if it cannot be started
	 */
	public SnowwindProcess(Path log, String... arguments) throws IOException {
		this(log, packaged(arguments), Map.of());
	}

	private SnowwindProcess(Path log, List<String> command, Map<String, String> environment) throws IOException {
		this.log = log;
		ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(log.toFile());
		builder.environment().putAll(environment);
		this.process = builder.start();
		RUNNING.add(this.process);
		var unused = this.process.onExit().thenAccept(RUNNING::remove);
	}

	/**
	 * Starts a gateway as it is deployed, with the limits on memory and descriptors that
	 * it has there.
	 * @param log where its output goes
	 * @param settings its settings file
	 * @return the process
	 * @throws IOException if it cannot be started
	 */
	public static SnowwindProcess deployedGateway(Path log, Path settings) throws IOException {
		return deployedGateway(log, settings, Map.of());
	}

	/**
	 * Starts a gateway as it is deployed, with additional environment variables.
	 * @param log where its output goes
	 * @param settings its settings file
	 * @param environment the variables by name
	 * @return the process
	 * @throws IOException if it cannot be started
	 */
	public static SnowwindProcess deployedGateway(Path log, Path settings, Map<String, String> environment)
			throws IOException {
		return new SnowwindProcess(log, DeployCommand.of(settings), environment);
	}

	private static List<String> packaged(String... arguments) {
		List<String> command = new ArrayList<>();
		command.add(BINARY.toString());
		command.addAll(List.of(arguments));
		return command;
	}

	/**
	 * Kills the process as a failing VM would.
	 * @throws InterruptedException if the waiting thread is interrupted
	 */
	public void kill() throws InterruptedException {
		this.process.destroyForcibly();
		this.process.waitFor(STOP_SECONDS, TimeUnit.SECONDS);
	}

	/**
	 * Asks the process to stop.
	 */
	public void terminate() {
		this.process.destroy();
	}

	/**
	 * Waits for the process to end.
	 * @return true if it has ended
	 * @throws InterruptedException if the waiting thread is interrupted
	 */
	public boolean awaitEnd() throws InterruptedException {
		return this.process.waitFor(STOP_SECONDS, TimeUnit.SECONDS);
	}

	/**
	 * Tells whether the process has not ended.
	 * @return true while it runs or is paused
	 */
	public boolean running() {
		return this.process.isAlive();
	}

	/**
	 * Returns the exit code of an ended process.
	 * @return the code
	 */
	public int exitCode() {
		return this.process.exitValue();
	}

	/**
	 * Stops the process from running, as a paused VM.
	 * @throws IOException if the signal cannot be sent
	 * @throws InterruptedException if the waiting thread is interrupted
	 */
	public void freeze() throws IOException, InterruptedException {
		signal("STOP");
	}

	/**
	 * Lets a frozen process run on.
	 * @throws IOException if the signal cannot be sent
	 * @throws InterruptedException if the waiting thread is interrupted
	 */
	public void thaw() throws IOException, InterruptedException {
		signal("CONT");
	}

	/**
	 * Tells the process that its settings have changed.
	 * @throws IOException if the signal cannot be sent
	 * @throws InterruptedException if the waiting thread is interrupted
	 */
	public void hangUp() throws IOException, InterruptedException {
		signal("HUP");
	}

	/**
	 * Waits until the process has printed a text.
	 * @param text the text
	 * @return true if it has
	 * @throws IOException if its output cannot be read
	 * @throws InterruptedException if the waiting thread is interrupted
	 */
	public boolean awaitOutput(String text) throws IOException, InterruptedException {
		long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(STOP_SECONDS);
		while (!output().contains(text)) {
			if (System.nanoTime() > endNanos || !this.process.isAlive()) {
				return false;
			}
			TimeUnit.MILLISECONDS.sleep(20);
		}
		return true;
	}

	private void signal(String name) throws IOException, InterruptedException {
		new ProcessBuilder("kill", "-" + name, Long.toString(this.process.pid())).start().waitFor();
	}

	/**
	 * Returns what the process has printed.
	 * @return its output
	 * @throws IOException if it cannot be read
	 */
	public String output() throws IOException {
		return Files.readString(this.log);
	}

	@Override
	public void close() throws IOException {
		if (!this.process.isAlive()) {
			return;
		}
		try {
			thaw();
			kill();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
