package org.snowwind.decide.notice;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link RampUp}.
 */
class RampUpTests {

	@Test
	void spreadGrowsWithTheNumberOfProcesses() {
		assertThat(RampUp.of(7, 100, 8, 3000, 0).spreadMillis()).isEqualTo(175);
		assertThat(RampUp.of(49, 100, 8, 3000, 0).spreadMillis()).isEqualTo(1225);
	}

	@Test
	void processesThatFitIntoTheSlotsStartAtOnce() {
		assertThat(RampUp.of(8, 100, 8, 3000, 0.9).offsetMillis()).isZero();
		assertThat(RampUp.of(24, 100, 8, 3000, 0.5).offsetMillis()).isEqualTo(200);
	}

	@Test
	void spreadIsCappedByTheLongerOfBackoffAndOneSecond() {
		assertThat(RampUp.of(370, 100, 8, 3000, 0).spreadMillis()).isEqualTo(3000);
		assertThat(RampUp.of(370, 100, 8, 200, 0).spreadMillis()).isEqualTo(1000);
	}

	@Test
	void unknownResponseTimeAndSlotsUseDefaults() {
		assertThat(RampUp.of(2, 0, 0, 3000, 0.5)).isEqualTo(new RampUp(200, 100));
		assertThat(RampUp.of(0, 0, 8, 3000, 0.5)).isEqualTo(RampUp.UNRESTRICTED);
	}

	@Test
	void rateGrowsUntilItIsUnrestricted() {
		RampUp rampUp = new RampUp(400, 0);
		assertThat(rampUp.intervalMillis(0)).isEqualTo(400);
		assertThat(rampUp.intervalMillis(800)).isEqualTo(200);
		assertThat(rampUp.intervalMillis(1600)).isZero();
		assertThat(RampUp.UNRESTRICTED.intervalMillis(0)).isZero();
	}

}
