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

	private void observePasses(int count, long millis) {
		for (int i = 0; i < count; i++) {
			this.nowMillis += millis;
			for (int stream = 0; stream < STREAMS; stream++) {
				this.passes.observe(millis, TARGET_MILLIS, EMPTY_MILLIS, LOAD, this.nowMillis);
			}
		}
	}

	@Test
	void timePerRequestIsEstimated() {
		observePasses(20, 68);
		assertThat(this.passes.millis()).isBetween(67.0, 69.0);
		assertThat(this.passes.perRequestMillis()).isBetween(0.98, 1.02);
	}

	@Test
	void shiftOfDemandIsDetectedWithinTwoPasses() {
		observePasses(30, 55);
		assertThat(this.passes.lastJumpMillis()).isEqualTo(Long.MIN_VALUE);
		observePasses(2, 95);
		assertThat(this.passes.lastJumpMillis()).isBetween(this.nowMillis - 95, this.nowMillis);
	}

	@Test
	void promptsReadAtTheSameTimeAreNoJump() {
		observePasses(30, 55);
		for (int i = 0; i < 20; i++) {
			observePasses(1, 64);
			observePasses(2, 55);
		}
		assertThat(this.passes.lastJumpMillis()).isEqualTo(Long.MIN_VALUE);
	}

	@Test
	void jumpIsReportedOnceUntilPassesHaveSettled() {
		observePasses(30, 55);
		observePasses(2, 95);
		long jumpedMillis = this.passes.lastJumpMillis();
		observePasses(5, 110);
		assertThat(this.passes.lastJumpMillis()).isEqualTo(jumpedMillis);
		observePasses(30, 55);
		observePasses(2, 95);
		assertThat(this.passes.lastJumpMillis()).isGreaterThan(jumpedMillis);
	}

	@Test
	void stallIsNotObservedAsPass() {
		observePasses(30, 55);
		observePasses(1, 4 * TARGET_MILLIS);
		assertThat(this.passes.millis()).isBetween(54.0, 56.0);
		assertThat(this.passes.lastJumpMillis()).isEqualTo(Long.MIN_VALUE);
	}

}
