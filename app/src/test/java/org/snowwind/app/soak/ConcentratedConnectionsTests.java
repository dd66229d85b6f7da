package org.snowwind.app.soak;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.IntUnaryOperator;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.snowwind.http.DataLoop;
import org.snowwind.http.client.UpstreamClient;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that requests are served while the load balancer before the gateways sends most
 * new connections to a single gateway.
 */
class ConcentratedConnectionsTests {

	private static final int GATEWAYS = 3;

	private static final int SPREAD_CALLS = 300;

	private static final int CONCENTRATED_CALLS = 900;

	private static final long CALL_EVERY_MILLIS = 5;

	private static final long WAIT_MILLIS = 30_000;

	/** The users' bound on what is served, against before. */
	private static final double LEAST_SERVED_AGAINST_BEFORE = 0.75;

	private final DataLoop callerLoop = new DataLoop("concentrated-callers");

	private final SoakCaller caller = new SoakCaller(this.callerLoop, UpstreamClient.Connections.FRESH);

	private SoakWorld world;

	@BeforeEach
	void start(@TempDir Path folder) throws Exception {
		this.world = new SoakWorld(Files.createDirectories(folder), GATEWAYS, new Random(1));
		long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT_MILLIS);
		for (SoakGateway gateway : this.world.gateways()) {
			while (!this.caller.send(gateway, CallKind.AGAIN, SoakWorld.KEY).get().served()) {
				assertThat(System.nanoTime()).as("the gateway serves in time").isLessThan(endNanos);
				TimeUnit.MILLISECONDS.sleep(200);
			}
		}
	}

	@AfterEach
	void stop() throws Exception {
		this.caller.close();
		this.world.close();
		this.callerLoop.close();
	}

	private double servedShare(int count, IntUnaryOperator gatewayOfCall) throws Exception {
		List<CompletableFuture<Call>> calls = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			SoakGateway gateway = this.world.gateways().get(gatewayOfCall.applyAsInt(i));
			calls.add(this.caller.send(gateway, (i % 4 == 0) ? CallKind.STREAM : CallKind.AGAIN, SoakWorld.KEY));
			TimeUnit.MILLISECONDS.sleep(CALL_EVERY_MILLIS);
		}
		long served = 0;
		for (CompletableFuture<Call> call : calls) {
			served += call.get(WAIT_MILLIS, TimeUnit.MILLISECONDS).served() ? 1 : 0;
		}
		return served / (double) count;
	}

	@Test
	void newConnectionsOfADataCentreAtOneGatewayAreServed() throws Exception {
		double spread = servedShare(SPREAD_CALLS, (i) -> i % GATEWAYS);
		double concentrated = servedShare(CONCENTRATED_CALLS, (i) -> (i % 10 == 0) ? 1 : 0);
		assertThat(concentrated).as("%s before", spread).isGreaterThanOrEqualTo(LEAST_SERVED_AGAINST_BEFORE * spread);
	}

	@Test
	void newConnectionsOfARegionAreServedByTheNextGatewayOnceTheFirstIsOut() throws Exception {
		double spread = servedShare(SPREAD_CALLS, (i) -> i % GATEWAYS);
		double first = servedShare(CONCENTRATED_CALLS, (i) -> 0);
		this.world.gateways().get(0).process().terminate();
		double next = servedShare(CONCENTRATED_CALLS, (i) -> 1);
		assertThat(List.of(first, next)).as("%s before", spread)
			.allMatch((share) -> share >= LEAST_SERVED_AGAINST_BEFORE * spread);
	}

}
