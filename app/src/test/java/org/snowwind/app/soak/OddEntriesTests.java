package org.snowwind.app.soak;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.snowwind.platform.standin.OddValues;
import org.snowwind.platform.standin.RegistryEntry;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Gateways as processes while another writer leaves odd objects in the store.
 */
class OddEntriesTests {

	private static final List<String> KINDS = List.of("servers", "config", "evacuations", "suspects", "gateways",
			"duties", "groups");

	private static final int GATEWAYS = 2;

	private static final String DATA_CENTRE = "dc-1";

	/** Bounds the wait for a change to be followed on a busy machine. */
	private static final long FOLLOWED_MILLIS = 20_000;

	private static final long RETRY_MILLIS = 200;

	private static final long SETTLE_MILLIS = 1500;

	private static final int CHANGES = 300;

	private static final long CHANGE_EVERY_MILLIS = 10;

	private FleetUnderLoad fleet;

	private SoakWorld world;

	private long fromNanos;

	@BeforeEach
	void start(@TempDir Path folder) throws Exception {
		this.fleet = new FleetUnderLoad(folder, GATEWAYS);
		this.world = this.fleet.world();
		this.fleet.startLoad();
		this.fromNanos = System.nanoTime();
	}

	@AfterEach
	void stop() throws Exception {
		this.fleet.close();
	}

	/** Writes an odd value under the only name that gateways read, or under its own. */
	private void putOdd(String kind, int number, String value) {
		String name = switch (kind) {
			case "config" -> "main";
			case "duties" -> "experts";
			case "groups" -> "members";
			default -> "odd-" + number;
		};
		this.world.store().putText(kind, name, value);
	}

	private void restartSecondGateway() throws Exception {
		SoakGateway second = this.world.gateways().get(1);
		second.process().kill();
		second.start();
		this.fleet.awaitServing(second);
	}

	private void assertEverythingIsFollowed() throws Exception {
		this.world.reconfigure();
		await("the new key", () -> this.fleet.gatewaysThatRefuse(this.world.passingKey()).isEmpty());
		SoakWorld.SoakServer added = this.world.addServer(FleetUnderLoad.SERVICE);
		await("the new server", () -> !added.server().arrivals().isEmpty());
		this.world.evacuate(DATA_CENTRE);
		await("the evacuation", this::isEvacuated);
		this.world.endEvacuation(DATA_CENTRE);
		await("the end of the evacuation", () -> !isEvacuated());
		for (SoakGateway gateway : this.world.gateways()) {
			assertThat(gateway.process().running()).as(gateway.name() + " runs").isTrue();
			assertThat(gateway.process().output()).doesNotContain("SW-9001");
		}
		await("each new request", () -> this.fleet.gatewaysThatRefuse(SoakWorld.KEY).isEmpty());
		assertFirstGatewayServed();
	}

	// The servers run in this process. Where they are kept from running, requests fail
	// whatever the gateway does, but are answered.
	private void assertFirstGatewayServed() {
		boolean serversRan = !this.world.loopWatch().lateSince(this.fromNanos);
		assertThat(this.fleet.callsSince(this.fromNanos))
			.filteredOn((call) -> call.gateway().equals("g0") && call.key().equals(SoakWorld.KEY))
			.isNotEmpty()
			.allMatch((call) -> call.whole() && (call.served() || !serversRan));
	}

	private boolean isEvacuated() throws InterruptedException {
		long before = arrivalsAtDataCentre();
		TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
		return arrivalsAtDataCentre() == before;
	}

	private long arrivalsAtDataCentre() {
		return this.world.history(List.of())
			.arrivals()
			.stream()
			.filter((arrival) -> arrival.dataCentre().equals(DATA_CENTRE))
			.count();
	}

	private static void await(String what, Condition condition) throws Exception {
		long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(FOLLOWED_MILLIS);
		while (!condition.holds()) {
			assertThat(System.nanoTime()).as(what + " is followed").isLessThan(endNanos);
			TimeUnit.MILLISECONDS.sleep(RETRY_MILLIS);
		}
	}

	@Test
	void oddObjectsOfEachKindStopNoGatewayAndHideNoLaterChange() throws Exception {
		List<String> odd = OddValues.objects();
		for (String kind : KINDS) {
			for (int i = 0; i < odd.size(); i++) {
				putOdd(kind, i, odd.get(i));
			}
		}
		TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
		restartSecondGateway();
		assertEverythingIsFollowed();
	}

	static Iterable<String> largest() {
		return OddValues.largest().keySet().stream().sorted().toList();
	}

	@ParameterizedTest
	@MethodSource("largest")
	void oddEntryOfTheLargestSizeStopsNoGatewayAndHidesNoLaterChange(String name) throws Exception {
		putOdd(RegistryEntry.KIND, 0, OddValues.largest().get(name));
		TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
		restartSecondGateway();
		assertEverythingIsFollowed();
	}

	@Test
	void oddEntryThatChangesAllTheTimeHidesNoLaterChange() throws Exception {
		List<String> odd = OddValues.small();
		for (int i = 0; i < CHANGES; i++) {
			putOdd(RegistryEntry.KIND, 0, odd.get(i % odd.size()));
			TimeUnit.MILLISECONDS.sleep(CHANGE_EVERY_MILLIS);
		}
		assertEverythingIsFollowed();
	}

	@Test
	void oddMetadataHidesNoOtherServer() throws Exception {
		List<String> odd = OddValues.metadata();
		for (int i = 0; i < odd.size(); i++) {
			for (String kind : List.of(RegistryEntry.KIND, "evacuations", "suspects")) {
				this.world.store()
					.putWithMetadata(kind, "odd-" + i, odd.get(i),
							RegistryEntry.of("another", "10.0.0.1:1", "another", 1, "ready"));
			}
		}
		TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
		restartSecondGateway();
		assertEverythingIsFollowed();
	}

	/**
	 * Something that the gateways are to reach.
	 */
	@FunctionalInterface
	private interface Condition {

		boolean holds() throws Exception;

	}

}
