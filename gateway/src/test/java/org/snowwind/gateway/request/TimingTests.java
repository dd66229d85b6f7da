package org.snowwind.gateway.request;

import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link Timing}.
 */
class TimingTests {

	private final Timing stream = new Timing(true, 400);

	@Property(tries = 200)
	void retryAfterIsAtMostAThirdOfTheRemainingTime(@ForAll Random random,
			@ForAll @LongRange(min = 30, max = 20_000) long remainingMillis) {
		assertThat(this.stream.retryAfterMillis(remainingMillis, false, 0, random)).isPositive()
			.isLessThan(remainingMillis / 3 + 1);
		assertThat(this.stream.retryAfterMillis(remainingMillis, true, 0, random)).isPositive()
			.isLessThan(remainingMillis / 3 + 1);
	}

	@Test
	void retryAfterIsLongerIfNoServerAcceptsRequests() {
		long openDelayMillis = this.stream.retryAfterMillis(8000, false, 0, new Random(1));
		long closedDelayMillis = this.stream.retryAfterMillis(8000, true, 0, new Random(1));
		assertThat(closedDelayMillis).isGreaterThan(openDelayMillis);
	}

	@Test
	void retryAfterIsTheQueueingDelayOfRateLimitedServers() {
		assertThat(this.stream.retryAfterMillis(60_000, false, 9000, new Random(1))).isEqualTo(9000);
		assertThat(this.stream.retryAfterMillis(6000, false, 9000, new Random(1))).isLessThan(2001);
	}

}
