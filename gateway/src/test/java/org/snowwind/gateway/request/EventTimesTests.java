package org.snowwind.gateway.request;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link EventTimes}.
 */
class EventTimesTests {

	private final EventTimes times = new EventTimes(1000);

	@Test
	void theFirstEventCountsFromTheRequest() {
		assertThat(this.times.event(1180)).isEqualTo(EventTimes.FIRST);
		assertThat(this.times.firstMillis()).isEqualTo(180);
		assertThat(this.times.longestPauseMillis()).isZero();
	}

	@Test
	void theLongestPauseIsKept() {
		this.times.event(1180);
		assertThat(this.times.event(1240)).isEqualTo(60);
		assertThat(this.times.event(1370)).isEqualTo(130);
		assertThat(this.times.event(1430)).isEqualTo(60);
		assertThat(this.times.longestPauseMillis()).isEqualTo(130);
		assertThat(this.times.firstMillis()).isEqualTo(180);
	}

}
