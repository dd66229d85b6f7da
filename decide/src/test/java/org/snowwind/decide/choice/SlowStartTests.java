package org.snowwind.decide.choice;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link SlowStart}.
 */
class SlowStartTests {

	@Test
	void shareRisesFromATenthToAll() {
		SlowStart start = new SlowStart(1000, 2000);
		assertThat(start.factor(1000)).isEqualTo(0.1);
		assertThat(start.factor(2000)).isEqualTo(0.55);
		assertThat(start.factor(3000)).isEqualTo(1);
	}

	@Test
	void serverThatDoesNotReturnGetsItsNormalLoad() {
		assertThat(SlowStart.NONE.factor(0)).isEqualTo(1);
		assertThat(SlowStart.NONE.factor(-5)).isEqualTo(1);
	}

}
