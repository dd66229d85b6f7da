package org.snowwind.gateway.expert;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link Thousandths}.
 */
class ThousandthsTests {

	@Test
	void theNearestIsTaken() {
		assertThat(Thousandths.of(0.1234)).isEqualTo(0.123);
		assertThat(Thousandths.of(0.1236)).isEqualTo(0.124);
	}

}
