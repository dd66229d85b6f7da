package org.snowwind.app.soak;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.snowwind.http.DataLoop;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that gateways, which run as processes, name each organisation to servers by a
 * value of its own, and reject those whose names cannot be sent.
 */
class OrganisationNamesFleetTests {

	private static final int GATEWAYS = 2;

	private static final long START_MILLIS = 30_000;

	/** Keeps the requests to all gateways from exceeding the places of the servers. */
	private static final long BETWEEN_GATEWAYS_MILLIS = 500;

	private final DataLoop callerLoop = new DataLoop("name-callers");

	private final SoakCaller caller = new SoakCaller(this.callerLoop);

	private SoakWorld world;

	@BeforeEach
	void start(@TempDir Path folder) throws Exception {
		this.world = new SoakWorld(Files.createDirectories(folder), GATEWAYS, new Random(1));
		for (SoakGateway gateway : this.world.gateways()) {
			long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_MILLIS);
			while (!this.caller.send(gateway, CallKind.AGAIN, SoakWorld.KEY).get().served()) {
				assertThat(System.nanoTime()).as("%s serves in time", gateway.name()).isLessThan(endNanos);
				TimeUnit.MILLISECONDS.sleep(100);
			}
		}
	}

	@AfterEach
	void stop() throws Exception {
		this.caller.close();
		this.world.close();
		this.callerLoop.close();
	}

	private List<Call> callWithAllKeys() throws Exception {
		List<String> keys = new ArrayList<>(SoakOrganisations.allKeys());
		keys.add(SoakWorld.KEY);
		keys.add(this.world.passingKey());
		List<CompletableFuture<Call>> sent = new ArrayList<>();
		for (SoakGateway gateway : this.world.gateways()) {
			for (CallKind kind : List.of(CallKind.ONCE, CallKind.AGAIN, CallKind.STREAM)) {
				keys.forEach((key) -> sent.add(this.caller.send(gateway, kind, key)));
			}
			TimeUnit.MILLISECONDS.sleep(BETWEEN_GATEWAYS_MILLIS);
		}
		List<Call> calls = new ArrayList<>();
		for (CompletableFuture<Call> call : sent) {
			calls.add(call.get());
		}
		return calls;
	}

	@Test
	void organisationsAreToldApartAndUnusableNamesHarmNoOther() throws Exception {
		this.world.addOrganisations();
		TimeUnit.MILLISECONDS.sleep(ConfigurationsComeInForce.IN_FORCE_MILLIS);
		List<Call> calls = callWithAllKeys();
		for (Call call : calls) {
			assertThat(call.status()).as(call.describe() + " with " + call.key())
				.isEqualTo((SoakOrganisations.nameOf(call.key()) != null) ? 200 : 401);
		}
		Map<String, Call> callsById = calls.stream().collect(Collectors.toMap(Call::id, Function.identity()));
		assertThat(this.world.history(calls).runs()).filteredOn((run) -> callsById.containsKey(run.requestId()))
			.hasSizeGreaterThanOrEqualTo(GATEWAYS * 3 * (SoakOrganisations.validKeys().size() + 2))
			.allSatisfy((run) -> assertThat(run.organisation())
				.isEqualTo(SoakOrganisations.nameOf(callsById.get(run.requestId()).key())));
	}

}
