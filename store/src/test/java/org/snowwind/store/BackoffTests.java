package org.snowwind.store;

import java.util.Random;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link Backoff}.
 */
class BackoffTests {

	private final Backoff backoff = new Backoff(100, 300, new Random(1));

	@Test
	void pausesDoubleUpToTheLongest() {
		assertThat(this.backoff.failed()).isBetween(50L, 100L);
		assertThat(this.backoff.failed()).isBetween(100L, 200L);
		assertThat(this.backoff.failed()).isBetween(150L, 300L);
		assertThat(this.backoff.failed()).isBetween(150L, 300L);
	}

	@Test
	void aSuccessBeginsAnew() {
		this.backoff.failed();
		assertThat(this.backoff.hasFailed()).isTrue();
		this.backoff.succeeded();
		assertThat(this.backoff.hasFailed()).isFalse();
		assertThat(this.backoff.failed()).isBetween(50L, 100L);
	}

}
