package org.snowwind.gateway.backend;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.snowwind.gateway.backend.UrgencyModel.Counts;
import org.snowwind.gateway.backend.UrgencyModel.Kind;
import org.snowwind.gateway.backend.UrgencyModel.Scenario;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Simulates bursts of urgent and less urgent streams on {@link ServiceQueue}, and checks
 * who is served. The most urgent kind alone always fits the room.
 */
class UrgencyLoadTests {

	private static final int RANKS = 63;

	private static final int SEEDS = 3;

	private static final long DURATION_MILLIS = 16_000;

	/** The share of the most urgent requests that has to be answered on time. */
	private static final double TARGET = 0.95;

	/** How much less often a kind may be served than a less urgent one. */
	private static final double TOLERANCE = 0.02;

	private static Scenario scenario(int gateways, double urgentBurst, double digestBurst, double slowdown) {
		return new Scenario(RANKS, gateways, List.of(new Kind(80, urgentBurst, 400, 674), new Kind(35, 1, 400, 787),
				new Kind(105, digestBurst, 1000, 960)), slowdown);
	}

	private static Scenario burstOfDigests(int gateways) {
		return scenario(gateways, 1, 2.4, 1);
	}

	private static Scenario burstOfUrgent(int gateways) {
		return scenario(gateways, 1.7, 1, 1);
	}

	private static Scenario bothBursts(int gateways) {
		return scenario(gateways, 1.7, 2.4, 1);
	}

	private static Scenario slowGroup(int gateways) {
		return scenario(gateways, 1, 1, 1.3);
	}

	private static void assertMoreUrgentServedFirst(Scenario scenario) {
		for (long seed = 1; seed <= SEEDS; seed++) {
			List<Counts> kinds = new UrgencyModel(scenario, true, seed).run(DURATION_MILLIS);
			assertThat(kinds.get(0).onTimeShare()).as("%s, seed %d: %s", scenario, seed, kinds)
				.isGreaterThanOrEqualTo(TARGET);
			for (int i = 1; i < kinds.size(); i++) {
				assertThat(kinds.get(i - 1).servedShare()).as("%s, seed %d: %s", scenario, seed, kinds)
					.isGreaterThanOrEqualTo(kinds.get(i).servedShare() - TOLERANCE);
			}
		}
	}

	@Test
	void modelHasTheFaultIfEachRequestPolls() {
		for (Scenario scenario : List.of(burstOfDigests(1), bothBursts(1), slowGroup(1))) {
			List<Counts> kinds = new UrgencyModel(scenario, false, 1).run(DURATION_MILLIS);
			assertThat(kinds.get(0).servedShare()).as(kinds.toString())
				.isLessThan(kinds.get(2).servedShare() - TOLERANCE);
		}
	}

	@Test
	void lessUrgentDoNotDisplaceMoreUrgentAtOneGateway() {
		assertMoreUrgentServedFirst(burstOfDigests(1));
		assertMoreUrgentServedFirst(burstOfUrgent(1));
		assertMoreUrgentServedFirst(bothBursts(1));
		assertMoreUrgentServedFirst(slowGroup(1));
	}

	@Test
	void burstOfUrgentRequestsIsServedByManyGateways() {
		assertMoreUrgentServedFirst(burstOfUrgent(37));
		assertMoreUrgentServedFirst(burstOfUrgent(66));
	}

	@Test
	void burstOfDigestsDoesNotDisplaceMoreUrgentAtManyGateways() {
		assertMoreUrgentServedFirst(burstOfDigests(37));
		assertMoreUrgentServedFirst(burstOfDigests(66));
	}

	@Test
	void burstsOfBothDoNotDisplaceMoreUrgentAtManyGateways() {
		assertMoreUrgentServedFirst(bothBursts(37));
		assertMoreUrgentServedFirst(bothBursts(66));
	}

	@Test
	void slowGroupDoesNotDisplaceMoreUrgentAtManyGateways() {
		assertMoreUrgentServedFirst(slowGroup(37));
		assertMoreUrgentServedFirst(slowGroup(66));
	}

}
