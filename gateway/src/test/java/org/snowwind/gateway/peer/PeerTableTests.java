package org.snowwind.gateway.peer;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.snowwind.wire.generated.GatewayReport;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link PeerTable}.
 */
class PeerTableTests {

	private final PeerTable peers = new PeerTable("10.0.0.1:1");

	private long lastCheckMillis;

	private static GatewayReport report(String name, String address, Map<String, Integer> inFlight, long fence) {
		return new GatewayReport(name, 1, address, false, 5, 7, inFlight, List.of("10.0.0.9:1"), fence);
	}

	// Expires silent peers once per period, as a running process does.
	private void expireUntil(long nowMillis, long periodMillis) {
		while (this.lastCheckMillis < nowMillis) {
			this.lastCheckMillis = Math.min(nowMillis, this.lastCheckMillis + periodMillis);
			this.peers.expireSilent(this.lastCheckMillis, periodMillis);
		}
	}

	@Test
	void reportsAddPeersThatTheyList() {
		this.peers.acceptReport(report("b", "10.0.0.2:1", Map.of(), 0), 0);
		assertThat(this.peers.addresses()).containsExactlyInAnyOrder("10.0.0.2:1", "10.0.0.9:1");
		assertThat(this.peers.liveNames()).containsExactly("b");
	}

	@Test
	void ownAddressIsNotAddedAsPeer() {
		this.peers.addCandidate("10.0.0.1:1", 0);
		assertThat(this.peers.addresses()).isEmpty();
	}

	@Test
	void inFlightRequestsOfRecentReportsAreSummed() {
		this.peers.acceptReport(report("b", "10.0.0.2:1", Map.of("i-1", 2, "i-2", 1), 0), 0);
		this.peers.acceptReport(report("c", "10.0.0.3:1", Map.of("i-1", 3), 0), 1500);
		assertThat(this.peers.inFlight(1600)).containsEntry("i-1", 5).containsEntry("i-2", 1);
		assertThat(this.peers.inFlight(2600)).containsEntry("i-1", 3).doesNotContainKey("i-2");
	}

	@Test
	void silentPeerIsSuspectedButStaysKnownUntilRemoved() {
		this.peers.acceptReport(report("b", "10.0.0.2:1", Map.of(), 9), 0);
		assertThat(this.peers.plannerFence(100)).isEqualTo(9);
		expireUntil(2000, 100);
		assertThat(this.peers.liveNames()).isEmpty();
		assertThat(this.peers.plannerFence(2000)).isZero();
		assertThat(this.peers.knownCount()).isEqualTo(2);
		expireUntil(40_000, 100);
		assertThat(this.peers.knownCount()).isZero();
	}

	@Test
	void suspectedPeerThatReportsAgainIsLive() {
		this.peers.acceptReport(report("b", "10.0.0.2:1", Map.of(), 0), 0);
		this.peers.expireSilent(2000, 100);
		this.peers.acceptReport(report("b", "10.0.0.2:1", Map.of(), 0), 2100);
		assertThat(this.peers.liveAddresses()).containsExactly("10.0.0.2:1");
	}

	@Test
	void peersWithLongReportingPeriodAreNotSuspected() {
		this.peers.acceptReport(report("b", "10.0.0.2:1", Map.of("i-1", 2), 0), 0);
		expireUntil(4500, 3000);
		assertThat(this.peers.liveNames()).containsExactly("b");
		assertThat(this.peers.inFlight(4500)).containsEntry("i-1", 2);
		expireUntil(9100, 3000);
		assertThat(this.peers.liveNames()).isEmpty();
	}

	@Test
	void plannerTimesOutBeforePeerIsSuspected() {
		this.peers.acceptReport(report("a", "10.0.0.2:1", Map.of(), 9), 0);
		this.peers.acceptReport(report("b", "10.0.0.3:1", Map.of(), 0), 900);
		this.peers.expireSilent(1000, 100);
		assertThat(this.peers.liveNames()).containsExactly("a", "b");
		assertThat(this.peers.plannerFence(1000)).isZero();
		assertThat(this.peers.recentNames(1000)).containsExactly("b");
	}

	@Test
	void peersThatHaveNotReportedIncreaseFactor() {
		this.peers.addCandidate("10.0.0.2:1", 0);
		this.peers.addCandidate("10.0.0.3:1", 0);
		assertThat(this.peers.unreportedFactor(100)).isEqualTo(3);
		this.peers.acceptReport(report("b", "10.0.0.2:1", Map.of(), 0), 200);
		assertThat(this.peers.unreportedFactor(200)).as("this gateway and b, and two that have not reported")
			.isEqualTo(2);
		assertThat(this.peers.unreportedFactor(5000)).as("a peer that never reports is dead").isEqualTo(1);
	}

	@Test
	void shortStallsInSeriesDoNotTimeOutPlannerOrPeers() {
		this.peers.acceptReport(report("b", "10.0.0.2:1", Map.of(), 9), 0);
		this.peers.expireSilent(100, 100);
		for (long nowMillis = 590; nowMillis <= 2060; nowMillis += 490) {
			this.peers.expireSilent(nowMillis, 100);
		}
		assertThat(this.peers.plannerFence(2060)).as("no report could be received between the stalls").isEqualTo(9);
		assertThat(this.peers.liveNames()).containsExactly("b");
	}

	@Test
	void stalledProcessDoesNotTimeOutPlannerBeforeListening() {
		this.peers.acceptReport(report("b", "10.0.0.2:1", Map.of(), 9), 0);
		this.peers.expireSilent(100, 100);
		this.peers.expireSilent(3900, 100);
		assertThat(this.peers.plannerFence(3900)).as("no report could be received during the stall").isEqualTo(9);
		assertThat(this.peers.liveNames()).containsExactly("b");
		for (long nowMillis = 4000; nowMillis <= 6000; nowMillis += 100) {
			this.peers.expireSilent(nowMillis, 100);
		}
		assertThat(this.peers.plannerFence(6000)).as("the planner has been silent since the stall").isZero();
		assertThat(this.peers.liveNames()).isEmpty();
	}

	@Test
	void highestFenceOfSeveralPlannersIsReturned() {
		this.peers.acceptReport(report("b", "10.0.0.2:1", Map.of(), 9), 0);
		this.peers.acceptReport(report("c", "10.0.0.3:1", Map.of(), 12), 0);
		assertThat(this.peers.plannerFence(100)).isEqualTo(12);
	}

	@Test
	void onlyOneOfTwoConnectedGatewaysCalls() {
		PeerTable first = new PeerTable("10.0.0.1:1");
		PeerTable second = new PeerTable("10.0.0.2:1");
		first.acceptReport(report("b", "10.0.0.2:1", Map.of(), 0), 0);
		second.acceptReport(report("a", "10.0.0.1:1", Map.of(), 0), 0);
		assertThat(first.shouldCall("10.0.0.2:1", 100, 100)).isTrue();
		assertThat(second.shouldCall("10.0.0.1:1", 100, 100)).isFalse();
	}

	@Test
	void peerThatFailsToCallIsCalled() {
		PeerTable second = new PeerTable("10.0.0.2:1");
		second.addCandidate("10.0.0.1:1", 0);
		assertThat(second.shouldCall("10.0.0.1:1", 50, 100)).as("the peer may not know this gateway").isTrue();
		second.acceptReport(report("a", "10.0.0.1:1", Map.of(), 0), 100);
		assertThat(second.shouldCall("10.0.0.1:1", 200, 100)).isFalse();
		assertThat(second.shouldCall("10.0.0.1:1", 300, 100)).as("the peer's call was lost").isTrue();
	}

	private static String address(int number) {
		return "10.1." + (number >> 8) + "." + (number & 0xff) + ":1";
	}

	@Test
	void addressesThatOnePeerListsDoNotGrowTheTableWithoutBound() {
		List<String> listed = IntStream.range(0, 2 * PeerTable.MAX_PEERS).mapToObj(PeerTableTests::address).toList();
		this.peers.acceptReport(report("b", "10.0.0.2:1", Map.of(), 0).setKnownGateways(listed), 0);
		assertThat(this.peers.knownCount()).isEqualTo(PeerTable.MAX_PEERS);
		assertThat(this.peers.liveNames()).containsExactly("b");
	}

	@Test
	void peerThatReportsTakesThePlaceOfAnAddressWithoutReports() {
		IntStream.range(0, PeerTable.MAX_PEERS).forEach((number) -> this.peers.addCandidate(address(number), 0));
		assertThat(this.peers.acceptReport(report("b", "10.0.0.2:1", Map.of(), 0), 1)).isTrue();
		assertThat(this.peers.liveNames()).containsExactly("b");
		assertThat(this.peers.knownCount()).isEqualTo(PeerTable.MAX_PEERS);
	}

	@Test
	void onePeerTooManyDoesNotReplaceLivePeers() {
		IntStream.range(0, PeerTable.MAX_PEERS)
			.forEach((number) -> this.peers
				.acceptReport(report("p" + number, address(number), Map.of(), 0).setKnownGateways(List.of()), 0));
		assertThat(this.peers.acceptReport(report("b", "10.0.0.2:1", Map.of(), 0), 1)).isFalse();
		assertThat(this.peers.liveNames()).hasSize(PeerTable.MAX_PEERS).doesNotContain("b");
	}

	@Test
	void textThatIsNoAddressIsNotAddedAsPeer() {
		for (String text : List.of("", "b", "b:1", "10.0.0.2", "10.0.0.256:1", "1".repeat(100_000))) {
			this.peers.addCandidate(text, 0);
		}
		assertThat(this.peers.addresses()).isEmpty();
		assertThat(this.peers.acceptReport(report("b", "b:1", Map.of(), 0), 0)).isFalse();
	}

	@Test
	void reportWithLongNamesIsNotKept() {
		String longName = "x".repeat(100_000);
		assertThat(this.peers.acceptReport(report(longName, "10.0.0.2:1", Map.of(), 0), 0)).isFalse();
		assertThat(this.peers.acceptReport(report("c", "10.0.0.3:1", Map.of(longName, 1), 0), 0)).isFalse();
		assertThat(this.peers.addresses()).isEmpty();
	}

	@Test
	void largeReportsOfSomePeersCostOnlyTheirOwnCounts() {
		this.peers.acceptReport(report("b", "10.0.0.2:1", Map.of("i-1", 2), 0), 0);
		Map<String, Integer> large = IntStream.range(0, 40_000)
			.boxed()
			.collect(Collectors.toMap((number) -> "server-" + number, (number) -> 1));
		for (int number = 0; number < 10; number++) {
			this.peers.acceptReport(report("p" + number, address(number), large, 0), 0);
		}
		assertThat(this.peers.inFlight(100)).containsEntry("i-1", 2);
		assertThat(this.peers.inFlight(100).get("server-1")).isLessThanOrEqualTo(3);
		assertThat(this.peers.liveNames()).hasSize(11);
	}

}
