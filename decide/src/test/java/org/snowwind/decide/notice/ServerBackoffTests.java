package org.snowwind.decide.notice;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ServerBackoff}.
 */
class ServerBackoffTests {

	private static final long START = 10_000;

	private final ServerBackoff backoff = new ServerBackoff();

	private void retryAfter(long millis, long nowMillis) {
		this.backoff.recordRetryAfter(millis, RampUp.UNRESTRICTED, nowMillis);
	}

	@Test
	void serverWithoutBackoffIsSentRequests() {
		assertThat(this.backoff.admits(START)).isTrue();
		this.backoff.recordSent(START);
		assertThat(this.backoff.admits(START)).isTrue();
		assertThat(this.backoff.isActive(START)).isFalse();
	}

	@Test
	void noRequestIsSentBeforeTheDelayIsOver() {
		retryAfter(3000, START);
		assertThat(this.backoff.admits(START + 2999)).isFalse();
		assertThat(this.backoff.isActive(START + 2999)).isTrue();
		assertThat(this.backoff.admits(START + 3000)).isTrue();
	}

	@Test
	void shorterDelayOfLaterResponseDoesNotShortenTheBackoff() {
		retryAfter(3000, START);
		retryAfter(500, START + 100);
		assertThat(this.backoff.admits(START + 2999)).isFalse();
	}

	@Test
	void longerDelayLengthensTheBackoffFromItsStart() {
		retryAfter(1000, START);
		retryAfter(3000, START + 500);
		assertThat(this.backoff.admits(START + 3499)).isFalse();
		assertThat(this.backoff.startMillis()).isEqualTo(START);
	}

	@Test
	void delayOfZeroStartsNoBackoff() {
		retryAfter(0, START);
		assertThat(this.backoff.admits(START)).isTrue();
		assertThat(this.backoff.untilMillis()).isEqualTo(Long.MIN_VALUE);
	}

	@Test
	void processDoesNotExceedItsRateDuringTheRampUp() {
		this.backoff.recordRetryAfter(1000, new RampUp(400, 150), START);
		assertThat(this.backoff.isActive(START + 1000)).isFalse();
		assertThat(this.backoff.admits(START + 1149)).isFalse();
		assertThat(this.backoff.admits(START + 1150)).isTrue();
		this.backoff.recordSent(START + 1150);
		assertThat(this.backoff.admits(START + 1151)).isFalse();
		assertThat(this.backoff.admits(START + 1550)).isTrue();
		this.backoff.recordSent(START + 2800);
		assertThat(this.backoff.admits(START + 2801)).as("four spreads after the ramp-up started").isTrue();
	}

}
