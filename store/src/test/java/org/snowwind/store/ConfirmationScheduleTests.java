package org.snowwind.store;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ConfirmationSchedule}.
 */
class ConfirmationScheduleTests {

	private static boolean isDue(int rank, long unconfirmedMillis) {
		return new ConfirmationSchedule(2000, () -> rank).isDue(unconfirmedMillis);
	}

	@Test
	void theFirstInRankAsksFirst() {
		assertThat(isDue(0, 1159)).isFalse();
		assertThat(isDue(0, 1160)).isTrue();
		assertThat(isDue(1, 1359)).isFalse();
		assertThat(isDue(1, 1360)).isTrue();
	}

	@Test
	void nobodyWaitsForOthersBeyondThreeQuartersOfTheBound() {
		assertThat(isDue(369, 1499)).isFalse();
		assertThat(isDue(369, 1500)).isTrue();
		assertThat(isDue(369, Long.MAX_VALUE)).isTrue();
	}

	@Test
	void allTimesFollowFromTheBound() {
		ConfirmationSchedule schedule = new ConfirmationSchedule(3000, () -> 0);
		assertThat(schedule.retryMillis()).isEqualTo(1500);
		assertThat(schedule.stepMillis()).isEqualTo(375);
		assertThat(schedule.callMillis()).isEqualTo(6000);
	}

}
