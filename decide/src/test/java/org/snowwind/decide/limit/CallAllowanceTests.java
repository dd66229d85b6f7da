package org.snowwind.decide.limit;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link CallAllowance}.
 */
class CallAllowanceTests {

	private final CallAllowance allowance = new CallAllowance();

	@Test
	void onlyCallsInTheWindowCountAgainstTheAllowance() {
		this.allowance.made(1000);
		this.allowance.made(1000);
		assertThat(this.allowance.left(1, 1500)).isEqualTo(2);
		this.allowance.made(3000);
		this.allowance.made(3000);
		assertThat(this.allowance.left(1, 4999)).isZero();
		assertThat(this.allowance.left(1, 5000)).isEqualTo(2);
	}

	@Test
	void aServerWithALimitOfZeroCanStillBeQueried() {
		assertThat(this.allowance.left(0, 1000)).isEqualTo(3);
	}

}
