package org.snowwind.gateway.request;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link EventTimes}.
 */
class EventTimesTests {

	private final EventTimes times = new EventTimes(1000);

	@Test
	void firstEventIsMeasuredFromTheRequestsArrival() {
		assertThat(this.times.recordEvent(1180)).isEqualTo(EventTimes.FIRST_EVENT);
		assertThat(this.times.firstMillis()).isEqualTo(180);
		assertThat(this.times.longestPauseMillis()).isZero();
	}

	@Test
	void longestPauseIsRecorded() {
		this.times.recordEvent(1180);
		assertThat(this.times.recordEvent(1240)).isEqualTo(60);
		assertThat(this.times.recordEvent(1370)).isEqualTo(130);
		assertThat(this.times.recordEvent(1430)).isEqualTo(60);
		assertThat(this.times.longestPauseMillis()).isEqualTo(130);
		assertThat(this.times.firstMillis()).isEqualTo(180);
	}

}
