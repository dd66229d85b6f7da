package org.snowwind.decide.admission;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class LimitTests {

	@Test
	void aBucketAllowsItsBurstAndThenItsRate() {
		TokenBucket bucket = new TokenBucket(10, 2, 0);
		assertThat(bucket.tryTake(0)).isTrue();
		assertThat(bucket.tryTake(0)).isTrue();
		assertThat(bucket.tryTake(0)).isFalse();
		assertThat(bucket.nextTokenMillis()).isEqualTo(100);
		assertThat(bucket.tryTake(100)).isTrue();
		assertThat(bucket.tryTake(100)).isFalse();
	}

	@Test
	void retriesAreLimitedToAFractionOfFirstAttempts() {
		RetryBudget budget = new RetryBudget(0.5, 1);
		assertThat(budget.allows()).isTrue();
		budget.recordRetry();
		budget.recordFirstAttempt();
		assertThat(budget.allows()).isFalse();
		budget.recordFirstAttempt();
		assertThat(budget.allows()).isTrue();
	}

	@Test
	void theConcurrencyLimitGrowsWhileItIsReachedAndDelaysAreLow() {
		ConcurrencyLimit limit = new ConcurrencyLimit(4, 1, 100, 2);
		for (int i = 0; i < 50; i++) {
			limit.sample(10, 100);
		}
		assertThat(limit.current()).isGreaterThan(6);
	}

	@Test
	void theConcurrencyLimitShrinksWhenDelaysRise() {
		ConcurrencyLimit limit = new ConcurrencyLimit(40, 2, 100, 2);
		limit.sample(10, 40);
		for (int i = 0; i < 200; i++) {
			limit.sample(100, 40);
		}
		assertThat(limit.current()).isBetween(2, 30);
	}

	@Test
	void theQueueingDelayIsEstimatedFromTheDurationOfWork() {
		QueueDelayEstimator estimate = new QueueDelayEstimator();
		estimate.ended(200);
		assertThat(estimate.delayMillis(0, 4)).isEqualTo(50);
		assertThat(estimate.delayMillis(7, 4)).isEqualTo(400);
		assertThat(estimate.serviceMillis()).isEqualTo(200);
	}

	@Test
	void aConcurrencyLimitThatIsNotReachedStaysUnchanged() {
		ConcurrencyLimit limit = new ConcurrencyLimit(40, 2, 100, 2);
		for (int i = 0; i < 50; i++) {
			limit.sample(10, 1);
		}
		assertThat(limit.current()).isEqualTo(40);
	}

}
