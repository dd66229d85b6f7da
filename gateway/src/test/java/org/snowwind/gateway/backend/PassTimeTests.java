package org.snowwind.gateway.backend;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link PassTime}.
 */
class PassTimeTests {

	private static final long TARGET_MILLIS = 120;

	private static final double EMPTY_MILLIS = 18;

	private static final int LOAD = 50;

	private static final int STREAMS = 8;

	private final PassTime passes = new PassTime();

	private long nowMillis = 1000;

	private void passes(int count, long millis) {
		for (int i = 0; i < count; i++) {
			this.nowMillis += millis;
			for (int stream = 0; stream < STREAMS; stream++) {
				this.passes.observe(millis, TARGET_MILLIS, EMPTY_MILLIS, LOAD, this.nowMillis);
			}
		}
	}

	@Test
	void whatARequestCostsIsLearned() {
		passes(20, 68);
		assertThat(this.passes.millis()).isBetween(67.0, 69.0);
		assertThat(this.passes.perRequestMillis()).isBetween(0.98, 1.02);
	}

	@Test
	void aMoveOfDemandIsSeenWithinTwoPasses() {
		passes(30, 55);
		assertThat(this.passes.jumpedMillis()).isEqualTo(Long.MIN_VALUE);
		passes(2, 95);
		assertThat(this.passes.jumpedMillis()).isBetween(this.nowMillis - 95, this.nowMillis);
	}

	@Test
	void promptsThatAreReadAtOnceAreNoJump() {
		passes(30, 55);
		for (int i = 0; i < 20; i++) {
			passes(1, 64);
			passes(2, 55);
		}
		assertThat(this.passes.jumpedMillis()).isEqualTo(Long.MIN_VALUE);
	}

	@Test
	void oneJumpIsToldOnceUntilPassesHaveSettled() {
		passes(30, 55);
		passes(2, 95);
		long jumpedMillis = this.passes.jumpedMillis();
		passes(5, 110);
		assertThat(this.passes.jumpedMillis()).isEqualTo(jumpedMillis);
		passes(30, 55);
		passes(2, 95);
		assertThat(this.passes.jumpedMillis()).isGreaterThan(jumpedMillis);
	}

	@Test
	void aStallIsNoPass() {
		passes(30, 55);
		passes(1, 4 * TARGET_MILLIS);
		assertThat(this.passes.millis()).isBetween(54.0, 56.0);
		assertThat(this.passes.jumpedMillis()).isEqualTo(Long.MIN_VALUE);
	}

}
