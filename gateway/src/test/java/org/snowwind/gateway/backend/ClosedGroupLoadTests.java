package org.snowwind.gateway.backend;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.snowwind.gateway.table.EngineProfile;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Simulates a service whose only group of ranks is broken for some time, and checks what
 * callers get if they are rejected at once and if their last attempts wait.
 */
class ClosedGroupLoadTests {

	private static final EngineProfile ENGINE = new EngineProfile(7, 288_166, 7, 4.84, 0.435, 0.0132, 74_800, 8, 252, 5,
			2, 320, 180_000, 0.85);

	private static final long OUTAGE_START_MILLIS = 3000;

	private static final long DURATION_MILLIS = 18_000;

	private static final long FORM_MILLIS = 600;

	private static final double BALANCED_SKEW = 0.9;

	/** The skew of a group that was formed anew, whose map follows no demand. */
	private static final double STALE_SKEW = 4.5;

	private static final long STALE_MILLIS = 2500;

	private static final int NOBODY = 0;

	private static final int SLOTS_PER_GATEWAY = 12;

	private static final int SEEDS = 2;

	/**
	 * Differences of the mean utility below this come from the order of servers alone.
	 */
	private static final double NOISE = 0.01;

	private static double meanUtility(int waitingPerGateway, long lostMillis) {
		double sum = 0;
		for (long seed = 1; seed <= SEEDS; seed++) {
			sum += simulate(waitingPerGateway, lostMillis, seed).meanUtility();
		}
		return sum / SEEDS;
	}

	private static LoadResult simulate(int waitingPerGateway, long lostMillis, long seed) {
		long opensMillis = OUTAGE_START_MILLIS + lostMillis + FORM_MILLIS;
		LoadModel.Scenario scenario = new LoadModel.Scenario(ENGINE, 63, 38, 156, 403, 120,
				(ms) -> (ms >= opensMillis && ms < opensMillis + STALE_MILLIS) ? STALE_SKEW : BALANCED_SKEW,
				new LoadModel.Outage(OUTAGE_START_MILLIS, opensMillis, waitingPerGateway));
		return new LoadModel(scenario, GroupLimit.meanPass(), seed).run(DURATION_MILLIS);
	}

	@ParameterizedTest
	@ValueSource(longs = { 4000, 6000, 9000 })
	void waitingForClosedGroupDoesNotRaiseUtility(long cutMillis) {
		double rejected = meanUtility(NOBODY, cutMillis);
		double waiting = meanUtility(SLOTS_PER_GATEWAY, cutMillis);
		assertThat(waiting).as("utility if last attempts wait, %.3f if they do not", rejected)
			.isLessThan(rejected + NOISE);
	}

	@Test
	void noCallerFindsTheGroupClosedTwiceIfARankIsLostForASecond() {
		LoadResult result = simulate(NOBODY, 1000, 1);
		assertThat(result.rejectedOnce).as(result.toString()).isPositive();
		assertThat(result.foundClosedTwice).as(result.toString()).isZero();
	}

	@Test
	void callersAreRejectedAtOnceWhileTheGroupIsClosed() {
		LoadResult result = simulate(NOBODY, 9000, 1);
		assertThat(result.foundClosedTwice).as(result.toString()).isPositive();
		assertThat(result.maxHeldWhileClosedMillis).as(result.toString()).isZero();
	}

}
