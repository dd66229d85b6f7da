package org.snowwind.decide.limit;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link GrantedRate}.
 */
class GrantedRateTests {

	private final GrantedRate rate = new GrantedRate();

	private int sendAll(double limit, long fromMillis, long untilMillis) {
		int sent = 0;
		for (long nowMillis = fromMillis; nowMillis < untilMillis; nowMillis += 10) {
			while (this.rate.allows(limit, nowMillis)) {
				this.rate.recordSent(limit, nowMillis);
				sent++;
			}
		}
		return sent;
	}

	@Test
	void nothingIsSentWithoutAGrant() {
		assertThat(sendAll(10, 0, 5000)).isZero();
	}

	@Test
	void aGrantStartsWithoutSavedRequestsAndExpires() {
		this.rate.apply(new RateGrant(10, 2, 1, 0, 3000), 1000, 10, 1000);
		assertThat(sendAll(10, 1000, 1490)).isZero();
		assertThat(sendAll(10, 1490, 60_000)).isEqualTo(5);
		assertThat(this.rate.perSecond(60_000)).isZero();
	}

	@Test
	void aGrantIsValidFromWhenItWasRequested() {
		this.rate.apply(new RateGrant(10, 2, 1, 0, 1000), 0, 10, 1000);
		assertThat(sendAll(10, 1000, 5000)).isZero();
	}

	@Test
	void savedRequestsAreLimitedToTheBurst() {
		this.rate.apply(new RateGrant(10, 5, 1.5, 0, 20_000), 0, 10, 0);
		assertThat(this.rate.allows(10, 10_000)).isTrue();
		assertThat(sendAll(10, 10_000, 10_010)).isEqualTo(1);
	}

	@Test
	void aLoweredLimitScalesTheGrantedRateDownAtOnce() {
		this.rate.apply(new RateGrant(10, 10, 1, 0, 20_000), 0, 10, 0);
		assertThat(sendAll(1, 0, 10_010)).isEqualTo(10);
	}

	@Test
	void singleRequestsExpire() {
		this.rate.apply(new RateGrant(10, 0, 1, 2, 5000), 0, 10, 0);
		this.rate.recordSent(10, 500);
		assertThat(this.rate.allows(10, 900)).isTrue();
		assertThat(this.rate.allows(10, 1000)).isFalse();
	}

	@Test
	void savedRequestsAreLostWithTheShare() {
		this.rate.apply(new RateGrant(10, 2, 2, 0, 5000), 0, 10, 0);
		this.rate.apply(new RateGrant(10, 0, 1, 0, 5000), 1000, 10, 1000);
		assertThat(this.rate.allows(10, 1000)).isFalse();
	}

}
