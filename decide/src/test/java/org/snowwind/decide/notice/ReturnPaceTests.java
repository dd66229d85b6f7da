package org.snowwind.decide.notice;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ReturnPace}.
 */
class ReturnPaceTests {

	@Test
	void spreadGrowsWithTheNumberOfProcesses() {
		assertThat(ReturnPace.of(7, 100, 8, 3000, 0).spreadMillis()).isEqualTo(175);
		assertThat(ReturnPace.of(49, 100, 8, 3000, 0).spreadMillis()).isEqualTo(1225);
	}

	@Test
	void processesThatFitIntoTheSlotsStartAtOnce() {
		assertThat(ReturnPace.of(8, 100, 8, 3000, 0.9).offsetMillis()).isZero();
		assertThat(ReturnPace.of(24, 100, 8, 3000, 0.5).offsetMillis()).isEqualTo(200);
	}

	@Test
	void spreadIsCappedByTheLongerOfBackoffAndOneSecond() {
		assertThat(ReturnPace.of(370, 100, 8, 3000, 0).spreadMillis()).isEqualTo(3000);
		assertThat(ReturnPace.of(370, 100, 8, 200, 0).spreadMillis()).isEqualTo(1000);
	}

	@Test
	void unknownResponseTimeAndSlotsUseDefaults() {
		assertThat(ReturnPace.of(2, 0, 0, 3000, 0.5)).isEqualTo(new ReturnPace(200, 100));
		assertThat(ReturnPace.of(0, 0, 8, 3000, 0.5)).isEqualTo(ReturnPace.AT_ONCE);
	}

	@Test
	void rateGrowsUntilItIsUnrestricted() {
		ReturnPace rampUp = new ReturnPace(400, 0);
		assertThat(rampUp.intervalMillis(0)).isEqualTo(400);
		assertThat(rampUp.intervalMillis(800)).isEqualTo(200);
		assertThat(rampUp.intervalMillis(1600)).isZero();
		assertThat(ReturnPace.AT_ONCE.intervalMillis(0)).isZero();
	}

}
