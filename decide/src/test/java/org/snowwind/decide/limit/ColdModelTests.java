package org.snowwind.decide.limit;

import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks how many requests 7, 37, 66 and 370 processes send to one cold server in total
 * while callers wait at each of them.
 */
class ColdModelTests {

	private static final double OVER = 1.5;

	private static final double SLACK = 5;

	private static final double MIN_USED_SHARE = 0.9;

	private static double bound(double perSecond) {
		return perSecond * OVER + SLACK;
	}

	static Stream<Arguments> sizesAndRates() {
		return IntStream.of(7, 37, 66, 370)
			.boxed()
			.flatMap((size) -> Stream.of(3.0, 26.0, 100.0).map((rate) -> Arguments.of(size, rate)));
	}

	private static void assertWithinBound(ColdModel model, double perSecond, String description) {
		assertThat(model.maxInSecond()).as("requests in a second, " + description)
			.isLessThanOrEqualTo((int) bound(perSecond));
	}

	@ParameterizedTest
	@MethodSource("sizesAndRates")
	void rateIsUsedUpWithinTheBoundWhileCallersWait(int size, double perSecond) {
		ColdModel model = new ColdModel(size, size, bound(perSecond)).withReports(0.02, 60).advance(20_000);
		long settledMillis = model.nowMillis();
		model.advance(10_000);
		assertWithinBound(model, perSecond, "settled");
		assertThat(model.perSecond(settledMillis)).isGreaterThanOrEqualTo(MIN_USED_SHARE * perSecond);
	}

	@ParameterizedTest
	@MethodSource("sizesAndRates")
	void boundHoldsWhileProcessesAreRestartedFrozenPartitionedAndAdded(int size, double perSecond) {
		for (long seed = 1; seed <= ((size > 100) ? 1 : 6); seed++) {
			Random faults = new Random(seed);
			ColdModel model = new ColdModel(seed, size, bound(perSecond)).withReports(0.02, 300).advance(15_000);
			for (int i = 0; i < ((size > 100) ? 8 : 25); i++) {
				injectFault(model, faults);
				model.advance(200 + faults.nextInt(6000));
			}
			assertWithinBound(model, perSecond, "seed " + seed);
		}
	}

	private static void injectFault(ColdModel model, Random faults) {
		int size = model.count();
		int count = 1 + faults.nextInt(Math.max(1, size / 4));
		int from = faults.nextInt(size - count + 1);
		long millis = 200 + faults.nextLong(8000);
		switch (faults.nextInt(5)) {
			case 0 -> IntStream.range(from, from + count).forEach((process) -> model.restart(process, millis));
			case 1 -> model.freeze(faults.nextInt(size), millis);
			case 2 -> model.partition(0, size / 3, millis);
			case 3 -> model.add(1);
			default -> model.restart(faults.nextInt(size), 100);
		}
	}

	@ParameterizedTest
	@ValueSource(ints = { 7, 37, 66, 370 })
	void thirdThatIsCutOffDoesNotAddToTheShareThatOthersTakeOver(int size) {
		ColdModel model = new ColdModel(size, size, bound(26)).advance(15_000);
		model.partition(0, size / 3, 50_000);
		model.advance(60_000);
		assertWithinBound(model, 26, "cut for longer than peers are remembered");
	}

	@ParameterizedTest
	@ValueSource(ints = { 7, 37, 66 })
	void restartsWithinPartitionDoNotAddShares(int size) {
		ColdModel model = new ColdModel(size, size, bound(26)).advance(15_000);
		model.partition(0, size / 3, 40_000);
		for (int i = 0; i < size / 3; i++) {
			model.restart(i, 100);
			model.advance(1000);
		}
		model.advance(30_000);
		assertWithinBound(model, 26, "restarted while cut off");
	}

	@ParameterizedTest
	@ValueSource(ints = { 7, 37, 66 })
	void successorsOfKilledProcessesDoNotRepeatTheirSends(int size) {
		ColdModel model = new ColdModel(size, size, bound(26)).advance(15_000);
		for (int round = 0; round < 5; round++) {
			IntStream.range(0, size).forEach((process) -> model.restart(process, 50));
			model.advance(5000);
		}
		assertWithinBound(model, 26, "all killed at once");
	}

}
