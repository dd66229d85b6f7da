package org.snowwind.app.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.snowwind.http.DataLoop;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Gateways as processes before eight servers of one service, and a steady load of
 * repeatable requests to all of them in turn.
 */
final class FleetUnderLoad implements AutoCloseable {

	static final String SERVICE = "desk";

	private static final int MORE_SERVERS = 5;

	private static final long CALL_EVERY_MILLIS = 25;

	private static final long START_MILLIS = 30_000;

	private final DataLoop callerLoop = new DataLoop("fleet-callers");

	private final SoakCaller caller = new SoakCaller(this.callerLoop);

	private final ScheduledExecutorService calling = Executors.newSingleThreadScheduledExecutor();

	private final AtomicInteger calls = new AtomicInteger();

	private final SoakWorld world;

	FleetUnderLoad(Path folder, int gateways) throws Exception {
		this.world = new SoakWorld(Files.createDirectories(folder), gateways, new Random(1));
		for (int i = 0; i < MORE_SERVERS; i++) {
			this.world.addServer(SERVICE);
		}
		for (SoakGateway gateway : this.world.gateways()) {
			awaitServing(gateway);
		}
	}

	void awaitServing(SoakGateway gateway) throws Exception {
		long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_MILLIS);
		while (!this.caller.send(gateway, CallKind.AGAIN, SoakWorld.KEY).get().served()) {
			assertThat(System.nanoTime()).as("the gateway serves in time").isLessThan(endNanos);
			TimeUnit.MILLISECONDS.sleep(200);
		}
	}

	SoakWorld world() {
		return this.world;
	}

	List<SoakWorld.SoakServer> servers() {
		return this.world.servers().stream().filter((server) -> server.server().service().equals(SERVICE)).toList();
	}

	/** Begins the load, which goes on until the fleet is closed. */
	void startLoad() {
		this.calling.scheduleAtFixedRate(this::call, 0, CALL_EVERY_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void call() {
		int gateway = this.calls.incrementAndGet() % this.world.gateways().size();
		this.caller.send(this.world.gateways().get(gateway), CallKind.AGAIN, SoakWorld.KEY);
	}

	/**
	 * Sends each gateway a request with a key; returns the gateways that do not serve it.
	 */
	List<String> gatewaysThatRefuse(String key) throws Exception {
		List<CompletableFuture<Call>> sent = this.world.gateways()
			.stream()
			.map((gateway) -> this.caller.send(gateway, CallKind.AGAIN, key))
			.toList();
		List<String> refusing = new ArrayList<>();
		for (CompletableFuture<Call> call : sent) {
			if (!call.get().served()) {
				refusing.add(call.get().describe());
			}
		}
		return refusing;
	}

	CompletableFuture<Call> send(SoakGateway gateway, CallKind kind) {
		return this.caller.send(gateway, kind, SoakWorld.KEY);
	}

	List<Call> callsSince(long sinceNanos) {
		return this.caller.calls().stream().filter((call) -> call.sentNanos() > sinceNanos).toList();
	}

	List<String> broken(SoakRule rule) {
		return rule.broken(this.world.history(this.caller.calls()));
	}

	@Override
	public void close() throws IOException {
		this.calling.shutdownNow();
		this.caller.close();
		this.world.close();
		this.callerLoop.close();
	}

}
