package org.snowwind.decide.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link WindowedRetryBudget}.
 */
class WindowedRetryBudgetTests {

	private static final long WINDOW_MILLIS = 10_000;

	/** Started so long ago that nothing of an earlier life counts any more. */
	private static final long LONG_AGO = -WINDOW_MILLIS;

	@Test
	void aQuietProcessMaySpendItsPartOfTheExtra() {
		WindowedRetryBudget budget = new WindowedRetryBudget(0.2, 50, WINDOW_MILLIS, LONG_AGO);
		assertThat(spendAll(budget, 0, 10)).isEqualTo(4);
	}

	@Test
	void whatWasSpentComesBackAfterTheWindow() {
		WindowedRetryBudget budget = new WindowedRetryBudget(0, 2, WINDOW_MILLIS, LONG_AGO);
		budget.retried(0);
		assertThat(budget.allows(9_999, 1)).isFalse();
		assertThat(budget.allows(10_000, 1)).isTrue();
	}

	@Property(tries = 100)
	void allProcessesTogetherStayWithinTheBound(@ForAll Random random,
			@ForAll @IntRange(min = 1, max = 12) int processes) {
		List<WindowedRetryBudget> budgets = new ArrayList<>();
		for (int i = 0; i < processes; i++) {
			budgets.add(new WindowedRetryBudget(0.2, 90, WINDOW_MILLIS, LONG_AGO));
		}
		Deque<Long> requests = new ArrayDeque<>();
		Deque<Long> retries = new ArrayDeque<>();
		for (long now = 0; now < 40_000; now += 10) {
			long nowMillis = now;
			WindowedRetryBudget budget = budgets.get(random.nextInt(processes));
			if (random.nextInt(3) == 0) {
				budget.request(now);
				requests.add(now);
			}
			while (budget.allows(now, processes) && random.nextInt(4) != 0) {
				budget.retried(now);
				retries.add(now);
			}
			requests.removeIf((at) -> at <= nowMillis - WINDOW_MILLIS);
			retries.removeIf((at) -> at <= nowMillis - WINDOW_MILLIS);
			assertThat((double) retries.size()).isLessThanOrEqualTo(0.2 * requests.size() + 90);
		}
	}

	/**
	 * Six of seven processes were killed while retries were being spent. Each began anew
	 * with its whole part of the bound, so that the sum over ten seconds came to 248
	 * where 206 were allowed: state on which a promise over a window depends was lost in
	 * a restart. Played here with requests and kills at the moments that were seen.
	 */
	@Test
	void processesThatAreKilledWhileTheySpendDoNotSpendAgain() {
		int processes = 7;
		Fleet fleet = new Fleet(processes, 0.2, 90, new Random(5));
		for (long now = 0; now < 30_000; now += 10) {
			fleet.requestsAt(now, 0.58);
			if (now == 10_000) {
				for (int killed = 1; killed < processes; killed++) {
					fleet.restart(killed, now + 1500);
				}
			}
			boolean failing = now >= 6_000 && now < 17_000;
			if (failing) {
				fleet.retriesAt(now, 1);
			}
			fleet.checkBound(now);
		}
	}

	@Property(tries = 200)
	void theBoundHoldsWhateverIsKilledAndHoweverOften(@ForAll Random random,
			@ForAll @IntRange(min = 1, max = 40) int processes, @ForAll @IntRange(min = 0, max = 300) int extra) {
		Fleet fleet = new Fleet(processes, 0.2, extra, random);
		double killsPerStep = random.nextDouble() * 0.02 * processes;
		double requestsPerStep = random.nextDouble() * 3;
		double eagerness = random.nextDouble();
		for (long now = 0; now < 40_000; now += 10) {
			fleet.requestsAt(now, requestsPerStep);
			if (random.nextDouble() < killsPerStep) {
				fleet.restart(random.nextInt(processes), now + random.nextInt(2000));
			}
			fleet.retriesAt(now, eagerness);
			fleet.checkBound(now);
		}
	}

	@Test
	void aProcessThatHasHeardOfNoOtherSpendsNothingOfTheExtra() {
		WindowedRetryBudget budget = new WindowedRetryBudget(0.2, 90, WINDOW_MILLIS, LONG_AGO);
		assertThat(budget.allows(0, 0)).isFalse();
		for (int i = 0; i < 10; i++) {
			budget.request(0);
		}
		assertThat(budget.allows(0, 0)).isTrue();
	}

	@Test
	void aProcessHasItsWholePartOnceAWindowHasPassedSinceItsStart() {
		WindowedRetryBudget budget = new WindowedRetryBudget(0.2, 50, WINDOW_MILLIS, 1000);
		assertThat(spendAll(budget, 1000 + WINDOW_MILLIS / 2, 1)).isEqualTo(3);
		assertThat(spendAll(budget, 1000 + WINDOW_MILLIS, 1)).isEqualTo(37);
	}

	private static int spendAll(WindowedRetryBudget budget, long nowMillis, int processes) {
		int spent = 0;
		while (budget.allows(nowMillis, processes)) {
			budget.retried(nowMillis);
			spent++;
		}
		return spent;
	}

	/**
	 * Processes that share a bound, and the sum over all their lives.
	 */
	private static final class Fleet {

		private final double fraction;

		private final int extra;

		private final Random random;

		private final List<WindowedRetryBudget> budgets = new ArrayList<>();

		private final List<Long> upMillis = new ArrayList<>();

		private final Deque<Long> requests = new ArrayDeque<>();

		private final Deque<Long> retries = new ArrayDeque<>();

		private Fleet(int processes, double fraction, int extra, Random random) {
			this.fraction = fraction;
			this.extra = extra;
			this.random = random;
			for (int i = 0; i < processes; i++) {
				this.budgets.add(new WindowedRetryBudget(fraction, extra, WINDOW_MILLIS, LONG_AGO));
				this.upMillis.add(Long.MIN_VALUE);
			}
		}

		private void restart(int process, long upAtMillis) {
			this.budgets.set(process, new WindowedRetryBudget(this.fraction, this.extra, WINDOW_MILLIS, upAtMillis));
			this.upMillis.set(process, upAtMillis);
		}

		private void requestsAt(long nowMillis, double mean) {
			int count = (int) mean + ((this.random.nextDouble() < mean - (int) mean) ? 1 : 0);
			for (int i = 0; i < count; i++) {
				this.requests.add(nowMillis);
				int process = this.random.nextInt(this.budgets.size());
				if (this.upMillis.get(process) <= nowMillis) {
					this.budgets.get(process).request(nowMillis);
				}
			}
		}

		private void retriesAt(long nowMillis, double eagerness) {
			for (int i = 0; i < this.budgets.size(); i++) {
				boolean up = this.upMillis.get(i) <= nowMillis;
				while (up && this.budgets.get(i).allows(nowMillis, this.budgets.size())
						&& this.random.nextDouble() < eagerness) {
					this.budgets.get(i).retried(nowMillis);
					this.retries.add(nowMillis);
				}
			}
		}

		// The requests of the window, the one before it or half a window before it.
		private void checkBound(long nowMillis) {
			this.requests.removeIf((at) -> at <= nowMillis - 2 * WINDOW_MILLIS);
			this.retries.removeIf((at) -> at <= nowMillis - WINDOW_MILLIS);
			long most = Math.max(requestsIn(nowMillis),
					Math.max(requestsIn(nowMillis - WINDOW_MILLIS / 2), requestsIn(nowMillis - WINDOW_MILLIS)));
			assertThat((double) this.retries.size()).as("retries in the window up to %d ms", nowMillis)
				.isLessThanOrEqualTo(this.fraction * most + this.extra);
		}

		private long requestsIn(long untilMillis) {
			return this.requests.stream().filter((at) -> at > untilMillis - WINDOW_MILLIS && at <= untilMillis).count();
		}

	}

}
