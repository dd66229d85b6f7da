package org.snowwind.gateway.expert;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link MoveThreshold}.
 */
class MoveThresholdTests {

	private final MoveThreshold threshold = new MoveThreshold();

	private void stays(double share, int reads) {
		for (int i = 0; i < reads; i++) {
			this.threshold.exceededBy(share);
		}
	}

	@Test
	void whereReadsStrayLittleASmallMoveIsSeen() {
		assertThat(this.threshold.exceededBy(0.17)).isFalse();
		stays(0.06, 30);
		assertThat(this.threshold.exceededBy(0.17)).isTrue();
	}

	@Test
	void whereReadsStrayFarOnlyALargeMoveIsSeen() {
		for (int i = 0; i < 15; i++) {
			stays(0.14, 1);
			stays(0.22, 1);
		}
		assertThat(this.threshold.exceededBy(0.24)).isFalse();
		assertThat(this.threshold.exceededBy(0.26)).isTrue();
	}

	@Test
	void theFirstReadsAreLearntFromAtOnce() {
		stays(0.04, 1);
		assertThat(this.threshold.exceededBy(0.13))
			.as("the first move of a day, seen with a quarter of a second's delay")
			.isTrue();
	}

	@Test
	void afterAJumpOfPassesASmallerShareIsAMove() {
		for (int i = 0; i < 15; i++) {
			stays(0.05, 1);
			stays(0.09, 1);
		}
		assertThat(this.threshold.shareAfterJump()).isBetween(0.09, 0.13);
		assertThat(this.threshold.share()).isGreaterThan(0.14);
	}

	@Test
	void aMoveIsNotLearntFrom() {
		stays(0.06, 30);
		double before = this.threshold.share();
		this.threshold.exceededBy(0.9);
		assertThat(this.threshold.share()).isEqualTo(before);
	}

	@Test
	void readsThatTellNothingAreNotLearntFrom() {
		double before = this.threshold.share();
		stays(0, 50);
		assertThat(this.threshold.share()).isEqualTo(before);
	}

}
