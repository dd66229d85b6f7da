package org.snowwind.decide.limit;

import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Simulates 7, 49 and 370 processes in virtual time and checks how many requests they
 * send to one rate-limited server in total.
 */
class LimitModelTests {

	/**
	 * The platform's bound: this factor times the requests that the limit allows in four
	 * seconds, plus {@link #EXTRA} requests.
	 */
	private static final double FACTOR = 1.5;

	private static final double EXTRA = 5;

	/** The part of the extra that is reserved for queries and orders. */
	private static final double RESERVED_CALLS = 3;

	private static final double MIN_USED_SHARE = 0.9;

	static Stream<Arguments> sizesAndLimits() {
		return IntStream.of(7, 49, 370)
			.boxed()
			.flatMap((size) -> Stream.of(0.1, 0.5, 1.0, 3.0, 10.0, 100.0).map((limit) -> Arguments.of(size, limit)));
	}

	private static LimitModel simulation(int size, double limit, long seed) {
		return new LimitModel(seed, size, Math.max(4 * limit, 4)).limit(limit);
	}

	private static double minUsedPerSecond(double limit) {
		return MIN_USED_SHARE * limit;
	}

	private static void assertWithinBound(LimitModel simulation, double limit) {
		double maxExcess = simulation.maxExcess(FACTOR, EXTRA - RESERVED_CALLS);
		assertThat(maxExcess).as("requests over the bound with a limit of " + limit).isLessThanOrEqualTo(0);
	}

	@ParameterizedTest
	@MethodSource("sizesAndLimits")
	void aRateIsUsedUpWithinTheBoundWhileCallersWait(int size, double limit) {
		LimitModel simulation = simulation(size, limit, size).advance(30_000);
		long settledMillis = simulation.nowMillis();
		simulation.advance(60_000);
		assertWithinBound(simulation, limit);
		assertThat(simulation.usedPerSecond(settledMillis)).isGreaterThanOrEqualTo(minUsedPerSecond(limit));
	}

	@ParameterizedTest
	@MethodSource("sizesAndLimits")
	void aRateIsUsedUpIfAFewProcessesHaveNearlyAllCallers(int size, double limit) {
		LimitModel simulation = simulation(size, limit, size + 1).skewed(1.5).advance(30_000);
		long settledMillis = simulation.nowMillis();
		simulation.advance(60_000);
		assertWithinBound(simulation, limit);
		assertThat(simulation.usedPerSecond(settledMillis)).isGreaterThanOrEqualTo(minUsedPerSecond(limit));
	}

	@ParameterizedTest
	@MethodSource("sizesAndLimits")
	void theBoundHoldsWhileProcessesAreRestartedFrozenAndPartitioned(int size, double limit) {
		for (long seed = 1; seed <= ((size > 100) ? 2 : 6); seed++) {
			Random faults = new Random(seed);
			LimitModel simulation = simulation(size, limit, seed).withLossRate(0.02).withMaxDelay(60).advance(5000);
			for (int i = 0; i < 25; i++) {
				injectFault(simulation, size, faults);
				simulation.advance(200 + faults.nextInt(4000));
			}
			assertWithinBound(simulation, limit);
		}
	}

	private static void injectFault(LimitModel simulation, int size, Random faults) {
		int count = 1 + faults.nextInt(Math.max(1, size / 4));
		int from = faults.nextInt(size - count + 1);
		long millis = 200 + faults.nextLong(6000);
		switch (faults.nextInt(4)) {
			case 0 -> IntStream.range(from, from + count).forEach((process) -> simulation.restart(process, millis));
			case 1 -> simulation.freeze(simulation.anyProcess(), millis);
			case 2 -> simulation.partition(from, from + count, millis);
			default -> simulation.restart(simulation.anyProcess(), 1000);
		}
	}

	@ParameterizedTest
	@MethodSource("sizesAndLimits")
	void theBoundHoldsAndTheRateIsUsedUpAfterTheLimitFallsAndRises(int size, double limit) {
		LimitModel simulation = simulation(size, limit, size + 2).advance(20_000);
		simulation.limit(limit / 4).advance(20_000).limit(limit * 2).advance(20_000).limit(limit).advance(20_000);
		long settledMillis = simulation.nowMillis();
		simulation.advance(40_000);
		assertWithinBound(simulation, limit);
		assertThat(simulation.usedPerSecond(settledMillis)).isGreaterThanOrEqualTo(minUsedPerSecond(limit));
	}

}
