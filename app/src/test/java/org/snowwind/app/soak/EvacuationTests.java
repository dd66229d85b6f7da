package org.snowwind.app.soak;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.node.TextNode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.snowwind.model.Json;
import org.snowwind.platform.standin.StoreCopy;
import org.snowwind.platform.standin.StoreFault;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Evacuations of data centres before gateways as processes under load.
 */
class EvacuationTests {

	private static final int GATEWAYS = 7;

	private static final String EVACUATED = "dc-1";

	private static final String OTHER = "dc-2";

	private static final long SETTLE_MILLIS = 1000;

	private static final long PLAY_MILLIS = 1500;

	/** Longer than what a gateway has from the store counts as confirmed. */
	private static final long AWAY_MILLIS = 4000;

	private FleetUnderLoad fleet;

	private SoakWorld world;

	@BeforeEach
	void start(@TempDir Path folder) throws Exception {
		this.fleet = new FleetUnderLoad(folder, GATEWAYS);
		this.world = this.fleet.world();
		this.fleet.startLoad();
		TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
	}

	@AfterEach
	void stop() throws Exception {
		this.fleet.close();
	}

	private static void awaitInForce() throws InterruptedException {
		TimeUnit.MILLISECONDS.sleep(SoakGateway.EVACUATION_MILLIS);
	}

	private void assertKept() {
		assertThat(this.fleet.broken(new EvacuatedServersGetNothing(SoakGateway.EVACUATION_MILLIS))).isEmpty();
	}

	private void assertServedElsewhere() throws Exception {
		long fromNanos = System.nanoTime();
		TimeUnit.MILLISECONDS.sleep(PLAY_MILLIS);
		List<Call> calls = this.fleet.callsSince(fromNanos);
		assertThat(calls).isNotEmpty().allMatch(Call::served);
		assertKept();
	}

	private void assertServedAgain(String dataCentre) throws Exception {
		long before = arrivals(dataCentre);
		TimeUnit.MILLISECONDS.sleep(PLAY_MILLIS);
		assertThat(arrivals(dataCentre)).isGreaterThan(before);
	}

	private long arrivals(String dataCentre) {
		return this.world.history(List.of())
			.arrivals()
			.stream()
			.filter((arrival) -> arrival.dataCentre().equals(dataCentre))
			.count();
	}

	private void restore(StoreCopy copy) throws InterruptedException {
		this.world.store().fault(StoreFault.DOWN);
		TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
		this.world.store().restore(copy);
		this.world.store().fault(StoreFault.NONE);
	}

	@Test
	void evacuatedServersGetNothingUntilTheEvacuationEnds() throws Exception {
		this.world.evacuate(EVACUATED);
		awaitInForce();
		assertServedElsewhere();
		this.world.endEvacuation(EVACUATED);
		awaitInForce();
		assertServedAgain(EVACUATED);
	}

	@ParameterizedTest
	@EnumSource(value = StoreFault.class, names = { "DOWN", "SILENT", "SLOW" })
	void evacuationIsInForceThoughTheStoreFailsSoonAfterItsAcknowledgement(StoreFault fault) throws Exception {
		this.world.evacuate(EVACUATED);
		TimeUnit.MILLISECONDS.sleep(SoakGateway.EVACUATION_MILLIS / 4);
		this.world.store().fault(fault);
		awaitInForce();
		TimeUnit.MILLISECONDS.sleep(AWAY_MILLIS);
		assertKept();
	}

	@Test
	void evacuationReachesGatewaysWhoseConnectionsToTheStoreWentSilent() throws Exception {
		this.world.gateways().stream().skip(1).forEach((gateway) -> gateway.toStore().silence(true, true));
		this.world.evacuate(EVACUATED);
		awaitInForce();
		assertServedElsewhere();
	}

	@Test
	void evacuationIsKnownToAGatewayThatStartsWhileTheStoreIsAway() throws Exception {
		this.world.evacuate(EVACUATED);
		awaitInForce();
		this.world.store().fault(StoreFault.DOWN);
		SoakGateway restarted = this.world.gateways().get(0);
		restarted.process().kill();
		restarted.start();
		this.fleet.awaitServing(restarted);
		TimeUnit.MILLISECONDS.sleep(PLAY_MILLIS);
		assertKept();
	}

	@Test
	void evacuationThatARestoredStoreLacksStaysUntilItIsWrittenAgainAndRemoved() throws Exception {
		StoreCopy copy = this.world.store().copy();
		this.world.evacuate(EVACUATED);
		awaitInForce();
		restore(copy);
		TimeUnit.MILLISECONDS.sleep(AWAY_MILLIS);
		assertServedElsewhere();
		this.world.evacuate(EVACUATED);
		awaitInForce();
		this.world.endEvacuation(EVACUATED);
		awaitInForce();
		assertServedAgain(EVACUATED);
	}

	@Test
	void evacuationThatARestoredStoreLacksIsKnownToAGatewayThatStartsLater() throws Exception {
		StoreCopy copy = this.world.store().copy();
		this.world.evacuate(EVACUATED);
		awaitInForce();
		restore(copy);
		TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
		SoakGateway restarted = this.world.gateways().get(0);
		restarted.process().kill();
		restarted.start();
		this.fleet.awaitServing(restarted);
		TimeUnit.MILLISECONDS.sleep(PLAY_MILLIS);
		assertKept();
	}

	@Test
	void evacuationAndItsEndAreSeenInAHistoryThatWasCut() throws Exception {
		this.world.gateways().forEach((gateway) -> gateway.toStore().silenceOpenConnections());
		this.world.evacuate(EVACUATED);
		this.world.store().forgetHistory();
		awaitInForce();
		assertServedElsewhere();
		this.world.gateways().forEach((gateway) -> gateway.toStore().silenceOpenConnections());
		this.world.endEvacuation(EVACUATED);
		this.world.store().forgetHistory();
		awaitInForce();
		assertServedAgain(EVACUATED);
	}

	@Test
	void twoEvacuationsAtOnceEndIndependently() throws Exception {
		this.world.evacuate(EVACUATED);
		this.world.evacuate(OTHER);
		awaitInForce();
		assertServedElsewhere();
		this.world.endEvacuation(OTHER);
		awaitInForce();
		assertServedAgain(OTHER);
		assertKept();
	}

	@Test
	void invalidObjectsBesideAnEvacuationChangeNothing() throws Exception {
		this.world.store().put("evacuations", "nowhere", Json.MAPPER.createObjectNode());
		this.world.store().put("evacuations", OTHER, TextNode.valueOf("no object"));
		this.world.evacuate(EVACUATED);
		this.world.store().put("evacuations", EVACUATED, Json.MAPPER.createObjectNode().put("colour", "red"));
		awaitInForce();
		assertServedElsewhere();
		assertServedAgain(OTHER);
	}

}
