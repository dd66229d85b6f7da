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
		this.allowance.recordCall(1000);
		this.allowance.recordCall(1000);
		assertThat(this.allowance.remaining(1, 1500)).isEqualTo(2);
		this.allowance.recordCall(3000);
		this.allowance.recordCall(3000);
		assertThat(this.allowance.remaining(1, 4999)).isZero();
		assertThat(this.allowance.remaining(1, 5000)).isEqualTo(2);
	}

	@Test
	void aServerWithALimitOfZeroCanStillBeQueried() {
		assertThat(this.allowance.remaining(0, 1000)).isEqualTo(3);
	}

}
