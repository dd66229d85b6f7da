package org.snowwind.balance.demand;

import java.util.Random;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class DemandEstimateTests {

	private final DemandEstimate estimate = new DemandEstimate(1, 1);

	private final Random random = new Random(1);

	private void observe(int periods, double mean) {
		for (int i = 0; i < periods; i++) {
			this.estimate.observe(new double[][] { { mean * (1 + 0.1 * this.random.nextGaussian()) } });
		}
	}

	@Test
	void noiseIsAveragedOut() {
		observe(200, 100);
		assertThat(this.estimate.expected()[0][0]).isCloseTo(100, within(4.0));
		assertThat(this.estimate.relativeError()).isLessThan(0.04);
	}

	@Test
	void lastingChangeIsFollowedWithinTwelvePeriods() {
		observe(200, 100);
		observe(12, 300);
		assertThat(this.estimate.expected()[0][0]).isGreaterThan(240);
	}

	@Test
	void gapDoesNotChangeTheEstimate() {
		observe(50, 100);
		double before = this.estimate.expected()[0][0];
		this.estimate.observe(new double[][] { null });
		assertThat(this.estimate.expected()[0][0]).isEqualTo(before);
	}

}
