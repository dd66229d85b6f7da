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

	@Test
	void aQuietProcessMaySpendItsPartOfTheExtra() {
		WindowedRetryBudget budget = new WindowedRetryBudget(0.2, 50, WINDOW_MILLIS);
		int spent = 0;
		while (budget.allows(0, 10)) {
			budget.retried(0);
			spent++;
		}
		assertThat(spent).isEqualTo(4);
	}

	@Test
	void whatWasSpentComesBackAfterTheWindow() {
		WindowedRetryBudget budget = new WindowedRetryBudget(0, 2, WINDOW_MILLIS);
		budget.retried(0);
		assertThat(budget.allows(9_999, 1)).isFalse();
		assertThat(budget.allows(10_000, 1)).isTrue();
	}

	@Property(tries = 100)
	void allProcessesTogetherStayWithinTheBound(@ForAll Random random,
			@ForAll @IntRange(min = 1, max = 12) int processes) {
		List<WindowedRetryBudget> budgets = new ArrayList<>();
		for (int i = 0; i < processes; i++) {
			budgets.add(new WindowedRetryBudget(0.2, 90, WINDOW_MILLIS));
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

}
