package org.snowwind.app.soak;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Gateways whose connections to the store go silent without a reset, while new ones work,
 * and a store that answers slowly.
 */
class SilentStoreConnectionTests {

	private static final int GATEWAYS = 7;

	/** Within which an acknowledged configuration is in force. */
	private static final long IN_FORCE_MILLIS = 2000;

	/** Within which a leaving server gets nothing new. */
	private static final long DRAIN_MILLIS = 2000;

	private static final long SETTLE_MILLIS = 1000;

	private static final long SLOW_MILLIS = 12_000;

	private static final long SLOW_ANSWER_MILLIS = 1600;

	/** One call may be under way when the change is made; the next one brings it. */
	private static final int SLOW_ANSWERS = 2;

	private static final int CALLS = 20;

	private FleetUnderLoad fleet;

	@BeforeEach
	void start(@TempDir Path folder) throws Exception {
		this.fleet = new FleetUnderLoad(folder, GATEWAYS);
		// All watches begin again together after a change.
		this.fleet.world().reconfigure();
		TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
	}

	@AfterEach
	void stop() throws Exception {
		this.fleet.close();
	}

	private List<String> gatewaysThatRefuseTheNewKeyAfter(long millis) throws Exception {
		this.fleet.world().reconfigure();
		TimeUnit.MILLISECONDS.sleep(millis);
		return this.fleet.gatewaysThatRefuse(this.fleet.world().passingKey());
	}

	@Test
	void newKeyIsAcceptedInTimeByAGatewayWhoseWatchWentSilent() throws Exception {
		this.fleet.world().gateways().get(0).toStore().silenceOpenConnections();
		assertThat(gatewaysThatRefuseTheNewKeyAfter(IN_FORCE_MILLIS)).isEmpty();
	}

	@Test
	void newKeyIsAcceptedInTimeWhenAllWatchesWentSilent() throws Exception {
		this.fleet.world().gateways().forEach((gateway) -> gateway.toStore().silenceOpenConnections());
		assertThat(gatewaysThatRefuseTheNewKeyAfter(IN_FORCE_MILLIS)).isEmpty();
	}

	@Test
	void newKeyIsAcceptedWhileTheStoreAnswersSlowly() throws Exception {
		this.fleet.world().store().slow(SLOW_ANSWER_MILLIS);
		// Longer than two watches wait.
		TimeUnit.MILLISECONDS.sleep(SLOW_MILLIS);
		long waitMillis = IN_FORCE_MILLIS + SLOW_ANSWERS * SLOW_ANSWER_MILLIS;
		assertThat(gatewaysThatRefuseTheNewKeyAfter(waitMillis)).isEmpty();
	}

	@Test
	void leavingServerGetsNothingInTimeWhenAllWatchesWentSilent() throws Exception {
		this.fleet.world().gateways().forEach((gateway) -> gateway.toStore().silenceOpenConnections());
		SoakWorld.SoakServer leaving = this.fleet.servers().get(0);
		this.fleet.world().drains(leaving);
		TimeUnit.MILLISECONDS.sleep(DRAIN_MILLIS);
		int before = leaving.server().arrivals().size();
		for (int i = 0; i < CALLS; i++) {
			this.fleet.gatewaysThatRefuse(SoakWorld.KEY);
		}
		assertThat(leaving.server().arrivals()).hasSize(before);
	}

}
