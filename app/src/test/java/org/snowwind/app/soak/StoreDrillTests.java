package org.snowwind.app.soak;

import java.nio.file.Path;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.snowwind.platform.standin.StoreCopy;
import org.snowwind.platform.standin.StoreFault;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Gateways whose store is restored from an older copy of itself.
 */
class StoreDrillTests {

	private static final int GATEWAYS = 7;

	/** The kinds whose writers write again what was lost. */
	private static final Set<String> WRITTEN_AGAIN = Set.of("config", "servers");

	/** The time after which a leaving server gets no request. */
	private static final long DRAIN_MILLIS = 2000;

	/** The time after which a configuration is in force. */
	private static final long IN_FORCE_MILLIS = 2000;

	/** The time after the return of the store until its bounds apply. */
	private static final long STABLE_MILLIS = 3000;

	private static final long SETTLE_MILLIS = 1000;

	private static final long AWAY_MILLIS = 500;

	private static final long SILENT_MILLIS = 2500;

	private static final int LOST_CHANGES = 8;

	private static final int CALLS = 20;

	private FleetUnderLoad fleet;

	private SoakWorld.SoakServer leaving;

	@BeforeEach
	void start(@TempDir Path folder) throws Exception {
		this.fleet = new FleetUnderLoad(folder, GATEWAYS);
		this.leaving = this.fleet.servers().get(0);
		TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
	}

	@AfterEach
	void stop() throws Exception {
		this.fleet.close();
	}

	private StoreCopy loseChanges() throws Exception {
		StoreCopy copy = this.fleet.world().store().copy();
		for (int i = 0; i < LOST_CHANGES; i++) {
			this.fleet.world().reconfigure();
		}
		TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
		return copy;
	}

	// Entries that are written again with the same content change the registry's
	// revision.
	private StoreCopy loseChangesOfServers() throws Exception {
		StoreCopy copy = this.fleet.world().store().copy();
		SoakWorld.SoakServer other = this.fleet.servers().get(1);
		for (int i = 0; i < LOST_CHANGES; i++) {
			other.server().register(other.link().address());
		}
		TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
		return copy;
	}

	private StoreCopy drill(StoreCopy copy) throws Exception {
		this.fleet.world().store().fault(StoreFault.DOWN);
		TimeUnit.MILLISECONDS.sleep(AWAY_MILLIS);
		return this.fleet.world().store().restore(copy);
	}

	private void storeReturns() {
		this.fleet.world().store().fault(StoreFault.NONE);
	}

	private int arrivalsAtLeavingServer() throws Exception {
		int before = this.leaving.server().arrivals().size();
		for (int i = 0; i < CALLS; i++) {
			this.fleet.gatewaysThatRefuse(SoakWorld.KEY);
		}
		return this.leaving.server().arrivals().size() - before;
	}

	@Test
	void leavingAfterADrillIsSeenByGatewaysWhoseWatchesWentSilent() throws Exception {
		StoreCopy copy = loseChangesOfServers();
		this.fleet.world().gateways().forEach((gateway) -> gateway.toStore().silenceOpenConnections());
		this.fleet.world().store().fault(StoreFault.SILENT);
		StoreCopy lost = this.fleet.world().store().restore(copy);
		storeReturns();
		this.fleet.world().store().writeAgain(lost, WRITTEN_AGAIN);
		TimeUnit.MILLISECONDS.sleep(STABLE_MILLIS);
		this.fleet.world().drains(this.leaving);
		TimeUnit.MILLISECONDS.sleep(DRAIN_MILLIS);
		assertThat(arrivalsAtLeavingServer()).isZero();
	}

	@Test
	void leavingWithARevisionThatWasGivenOutAgainIsSeen() throws Exception {
		StoreCopy copy = loseChanges();
		StoreCopy lost = drill(copy);
		this.fleet.world().drains(this.leaving);
		for (int i = 0; i < LOST_CHANGES; i++) {
			this.fleet.world().reconfigure();
		}
		assertThat(this.fleet.world().store().copy().revision()).isGreaterThan(lost.revision());
		storeReturns();
		TimeUnit.MILLISECONDS.sleep(STABLE_MILLIS);
		assertThat(arrivalsAtLeavingServer()).isZero();
	}

	@Test
	void serverThatWasSeenDrainingGetsNothingByAnOlderEntry() throws Exception {
		StoreCopy copy = loseChanges();
		this.fleet.world().drains(this.leaving);
		TimeUnit.MILLISECONDS.sleep(DRAIN_MILLIS);
		drill(copy);
		storeReturns();
		TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
		assertThat(arrivalsAtLeavingServer()).isZero();
	}

	@Test
	void serverThatWasSeenRemovedGetsNothingByAnOlderEntry() throws Exception {
		StoreCopy copy = loseChanges();
		this.leaving.server().deregister();
		TimeUnit.MILLISECONDS.sleep(DRAIN_MILLIS);
		drill(copy);
		storeReturns();
		TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
		assertThat(arrivalsAtLeavingServer()).isZero();
	}

	@Test
	void keyThatWasRevokedBeforeADrillStaysRevoked() throws Exception {
		StoreCopy copy = loseChanges();
		String revoked = this.fleet.world().passingKey();
		this.fleet.world().reconfigure();
		TimeUnit.MILLISECONDS.sleep(IN_FORCE_MILLIS);
		StoreCopy lost = drill(copy);
		storeReturns();
		assertThat(this.fleet.gatewaysThatRefuse(revoked)).hasSize(GATEWAYS);
		TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
		assertThat(this.fleet.gatewaysThatRefuse(revoked)).hasSize(GATEWAYS);
		this.fleet.world().store().writeAgain(lost, WRITTEN_AGAIN);
		this.fleet.world().reconfigure();
		TimeUnit.MILLISECONDS.sleep(IN_FORCE_MILLIS);
		assertThat(this.fleet.gatewaysThatRefuse(this.fleet.world().passingKey())).isEmpty();
	}

	@Test
	void removalAfterASilentOutageIsNoLapse() throws Exception {
		this.fleet.world().gateways().forEach((gateway) -> gateway.toStore().silenceOpenConnections());
		this.fleet.world().store().fault(StoreFault.SILENT);
		TimeUnit.MILLISECONDS.sleep(SILENT_MILLIS);
		storeReturns();
		TimeUnit.MILLISECONDS.sleep(STABLE_MILLIS);
		this.leaving.server().deregister();
		TimeUnit.MILLISECONDS.sleep(DRAIN_MILLIS);
		assertThat(arrivalsAtLeavingServer()).isZero();
	}

	@Test
	void leavingInAHistoryThatWasCutIsSeenWithoutADrill() throws Exception {
		this.fleet.world().gateways().forEach((gateway) -> gateway.toStore().silenceOpenConnections());
		this.fleet.world().drains(this.leaving);
		this.fleet.world().store().forgetHistory();
		TimeUnit.MILLISECONDS.sleep(DRAIN_MILLIS);
		assertThat(arrivalsAtLeavingServer()).isZero();
	}

}
