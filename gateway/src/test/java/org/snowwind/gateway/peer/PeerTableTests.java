package org.snowwind.gateway.peer;

import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.snowwind.wire.generated.GatewayReport;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link PeerTable}.
 */
class PeerTableTests {

	private final PeerTable peers = new PeerTable("10.0.0.1:1");

	private long agedMillis;

	private static GatewayReport report(String name, String address, Map<String, Integer> inFlight, long fence) {
		return new GatewayReport(name, 1, address, false, 5, 7, inFlight, List.of("10.0.0.9:1"), fence);
	}

	// As a running process does it, once a period.
	private void ageUntil(long nowMillis, long periodMillis) {
		while (this.agedMillis < nowMillis) {
			this.agedMillis = Math.min(nowMillis, this.agedMillis + periodMillis);
			this.peers.age(this.agedMillis, periodMillis);
		}
	}

	@Test
	void peersTellOfPeers() {
		this.peers.heard(report("b", "10.0.0.2:1", Map.of(), 0), 0);
		assertThat(this.peers.addresses()).containsExactlyInAnyOrder("10.0.0.2:1", "10.0.0.9:1");
		assertThat(this.peers.liveNames()).containsExactly("b");
	}

	@Test
	void theOwnAddressIsNoPeer() {
		this.peers.mayBeAt("10.0.0.1:1", 0);
		assertThat(this.peers.addresses()).isEmpty();
	}

	@Test
	void requestsOfAllPeersAreAddedUpWhileTheyAreFresh() {
		this.peers.heard(report("b", "10.0.0.2:1", Map.of("i-1", 2, "i-2", 1), 0), 0);
		this.peers.heard(report("c", "10.0.0.3:1", Map.of("i-1", 3), 0), 1500);
		assertThat(this.peers.inFlight(1600)).containsEntry("i-1", 5).containsEntry("i-2", 1);
		assertThat(this.peers.inFlight(2600)).containsEntry("i-1", 3).doesNotContainKey("i-2");
	}

	@Test
	void aSilentPeerIsSuspectedButStillCountsForABudget() {
		this.peers.heard(report("b", "10.0.0.2:1", Map.of(), 9), 0);
		assertThat(this.peers.plannerFence(100)).isEqualTo(9);
		ageUntil(2000, 100);
		assertThat(this.peers.liveNames()).isEmpty();
		assertThat(this.peers.plannerFence(2000)).isZero();
		assertThat(this.peers.known()).isEqualTo(2);
		ageUntil(40_000, 100);
		assertThat(this.peers.known()).isZero();
	}

	@Test
	void aPeerThatAnswersAgainIsTrusted() {
		this.peers.heard(report("b", "10.0.0.2:1", Map.of(), 0), 0);
		this.peers.age(2000, 100);
		this.peers.heard(report("b", "10.0.0.2:1", Map.of(), 0), 2100);
		assertThat(this.peers.liveAddresses()).containsExactly("10.0.0.2:1");
	}

	@Test
	void peersThatReportSeldomAreNotSuspectedForIt() {
		this.peers.heard(report("b", "10.0.0.2:1", Map.of("i-1", 2), 0), 0);
		ageUntil(4500, 3000);
		assertThat(this.peers.liveNames()).containsExactly("b");
		assertThat(this.peers.inFlight(4500)).containsEntry("i-1", 2);
		ageUntil(9100, 3000);
		assertThat(this.peers.liveNames()).isEmpty();
	}

	@Test
	void aPlannerIsMissedSoonerThanItIsTakenForDead() {
		this.peers.heard(report("a", "10.0.0.2:1", Map.of(), 9), 0);
		this.peers.heard(report("b", "10.0.0.3:1", Map.of(), 0), 900);
		this.peers.age(1000, 100);
		assertThat(this.peers.liveNames()).containsExactly("a", "b");
		assertThat(this.peers.plannerFence(1000)).isZero();
		assertThat(this.peers.promptNames(1000)).containsExactly("b");
	}

	@Test
	void peersThatWereJustHeardOfMayHaveAsMuchAsTheOthers() {
		this.peers.mayBeAt("10.0.0.2:1", 0);
		this.peers.mayBeAt("10.0.0.3:1", 0);
		assertThat(this.peers.unheardFactor(100)).isEqualTo(3);
		this.peers.heard(report("b", "10.0.0.2:1", Map.of(), 0), 200);
		assertThat(this.peers.unheardFactor(200)).as("b, itself and two that b and others named").isEqualTo(2);
		assertThat(this.peers.unheardFactor(5000)).as("who never reports is dead").isEqualTo(1);
	}

	@Test
	void whoStoodStillItselfListensBeforeItMissesThePlanner() {
		this.peers.heard(report("b", "10.0.0.2:1", Map.of(), 9), 0);
		this.peers.age(100, 100);
		this.peers.age(3900, 100);
		assertThat(this.peers.plannerFence(3900)).as("nobody could be heard meanwhile").isEqualTo(9);
		assertThat(this.peers.liveNames()).containsExactly("b");
		for (long nowMillis = 4000; nowMillis <= 6000; nowMillis += 100) {
			this.peers.age(nowMillis, 100);
		}
		assertThat(this.peers.plannerFence(6000)).as("it is silent indeed").isZero();
		assertThat(this.peers.liveNames()).isEmpty();
	}

	@Test
	void theNewestOfSeveralPlannersCounts() {
		this.peers.heard(report("b", "10.0.0.2:1", Map.of(), 9), 0);
		this.peers.heard(report("c", "10.0.0.3:1", Map.of(), 12), 0);
		assertThat(this.peers.plannerFence(100)).isEqualTo(12);
	}

	@Test
	void ofTwoThatHearEachOtherOneCalls() {
		PeerTable first = new PeerTable("10.0.0.1:1");
		PeerTable second = new PeerTable("10.0.0.2:1");
		first.heard(report("b", "10.0.0.2:1", Map.of(), 0), 0);
		second.heard(report("a", "10.0.0.1:1", Map.of(), 0), 0);
		assertThat(first.calls("10.0.0.2:1", 100, 100)).isTrue();
		assertThat(second.calls("10.0.0.1:1", 100, 100)).isFalse();
	}

	@Test
	void aPeerThatShouldCallAndDoesNotIsCalled() {
		PeerTable second = new PeerTable("10.0.0.2:1");
		second.mayBeAt("10.0.0.1:1", 0);
		assertThat(second.calls("10.0.0.1:1", 50, 100)).as("it may not know of us").isTrue();
		second.heard(report("a", "10.0.0.1:1", Map.of(), 0), 100);
		assertThat(second.calls("10.0.0.1:1", 200, 100)).isFalse();
		assertThat(second.calls("10.0.0.1:1", 300, 100)).as("its call was lost").isTrue();
	}

}
