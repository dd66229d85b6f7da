package org.snowwind.app.soak;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.snowwind.http.DataLoop;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that gateways, which run as processes, let no request without a valid key pass
 * once the last key of all organisations has been removed.
 */
class RevokedKeysTests {

	private static final int GATEWAYS = 2;

	private static final long START_MILLIS = 30_000;

	private final DataLoop callerLoop = new DataLoop("key-callers");

	private final SoakCaller caller = new SoakCaller(this.callerLoop);

	private SoakWorld world;

	@BeforeEach
	void start(@TempDir Path folder) throws Exception {
		this.world = new SoakWorld(Files.createDirectories(folder), GATEWAYS, new Random(1));
		awaitStatusOfAll(200);
	}

	@AfterEach
	void stop() throws Exception {
		this.caller.close();
		this.world.close();
		this.callerLoop.close();
	}

	/** Waits until the key that stays gets a status at all gateways. */
	private void awaitStatusOfAll(int status) throws Exception {
		for (SoakGateway gateway : this.world.gateways()) {
			awaitStatus(gateway, status);
		}
	}

	private void awaitStatus(SoakGateway gateway, int status) throws Exception {
		long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_MILLIS);
		while (this.caller.send(gateway, CallKind.AGAIN, SoakWorld.KEY).get().status() != status) {
			assertThat(System.nanoTime()).as("%s answers with %s in time", gateway.name(), status).isLessThan(endNanos);
			TimeUnit.MILLISECONDS.sleep(100);
		}
	}

	private List<Call> callsWithoutAKeyInForce() throws Exception {
		List<CompletableFuture<Call>> sent = new ArrayList<>();
		for (SoakGateway gateway : this.world.gateways()) {
			for (String key : Arrays.asList(SoakWorld.KEY, "a-key-that-never-was", null)) {
				sent.add(this.caller.send(gateway, CallKind.ONCE, key));
				sent.add(this.caller.send(gateway, CallKind.STREAM, key));
			}
		}
		List<Call> calls = new ArrayList<>();
		for (CompletableFuture<Call> call : sent) {
			calls.add(call.get());
		}
		return calls;
	}

	private void assertNoneRuns() throws Exception {
		int runs = this.world.history(List.of()).runs().size();
		assertThat(callsWithoutAKeyInForce()).extracting(Call::status).containsOnly(401);
		assertThat(this.world.history(List.of()).runs()).as("nothing runs").hasSize(runs);
	}

	@Test
	void removalOfTheLastKeyDoesNotOpenAccess() throws Exception {
		this.world.withdrawKeys(true);
		TimeUnit.MILLISECONDS.sleep(ConfigurationsComeInForce.IN_FORCE_MILLIS);
		assertNoneRuns();
		this.world.withdrawKeys(false);
		awaitStatusOfAll(200);
	}

	@Test
	void gatewayThatStartsWithoutAnyKeyDoesNotOpenAccess() throws Exception {
		this.world.withdrawKeys(true);
		SoakGateway second = this.world.gateways().get(1);
		second.process().kill();
		second.start();
		awaitStatus(second, 401);
		TimeUnit.MILLISECONDS.sleep(ConfigurationsComeInForce.IN_FORCE_MILLIS);
		assertNoneRuns();
	}

}
