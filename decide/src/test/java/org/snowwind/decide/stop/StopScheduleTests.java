package org.snowwind.decide.stop;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link StopSchedule}.
 */
class StopScheduleTests {

	private static final long BEGAN_MILLIS = 50_000;

	private static final long KNOWN_AFTER_MILLIS = 3000;

	private static final long TOTAL_MILLIS = 8000;

	private final StopSchedule stop = StopSchedule.of(BEGAN_MILLIS, KNOWN_AFTER_MILLIS, TOTAL_MILLIS, 0);

	private static boolean admits(StopSchedule stop, long elapsedMillis, long neededMillis) {
		long nowMillis = stop.beganMillis() + elapsedMillis;
		return stop.accepts(nowMillis, nowMillis + neededMillis);
	}

	@Test
	void everyRequestIsAcceptedBeforeSendersKnowOfTheStop() {
		assertThat(this.stop.knownToSenders(BEGAN_MILLIS + KNOWN_AFTER_MILLIS - 1)).isFalse();
		assertThat(admits(this.stop, KNOWN_AFTER_MILLIS - 1, 60_000)).isTrue();
	}

	@Test
	void onlyRequestsThatEndInTimeAreAcceptedOnceSendersKnow() {
		assertThat(this.stop.knownToSenders(BEGAN_MILLIS + KNOWN_AFTER_MILLIS)).isTrue();
		assertThat(admits(this.stop, KNOWN_AFTER_MILLIS, TOTAL_MILLIS - KNOWN_AFTER_MILLIS)).isTrue();
		assertThat(admits(this.stop, KNOWN_AFTER_MILLIS, TOTAL_MILLIS - KNOWN_AFTER_MILLIS + 1)).isFalse();
	}

	@Test
	void requestsMustEndByTheStartOfTheAnswerMargin() {
		StopSchedule withMargin = StopSchedule.of(BEGAN_MILLIS, KNOWN_AFTER_MILLIS, TOTAL_MILLIS, 100);
		assertThat(withMargin.finalAnswersMillis()).isEqualTo(BEGAN_MILLIS + TOTAL_MILLIS - 100);
		assertThat(admits(withMargin, KNOWN_AFTER_MILLIS, 4900)).isTrue();
		assertThat(admits(withMargin, KNOWN_AFTER_MILLIS, 4901)).isFalse();
	}

	@Test
	void nothingIsAcceptedAtTheEnd() {
		assertThat(this.stop.ended(BEGAN_MILLIS + TOTAL_MILLIS)).isTrue();
		assertThat(admits(this.stop, TOTAL_MILLIS, 0)).isFalse();
	}

	@Test
	void stopShorterThanTheNoticePeriodAcceptsNothingAtItsEnd() {
		StopSchedule shortStop = StopSchedule.of(BEGAN_MILLIS, KNOWN_AFTER_MILLIS, 100, 0);
		assertThat(shortStop.knownToSenders(BEGAN_MILLIS + 100)).isTrue();
		assertThat(admits(shortStop, 100, 1)).isFalse();
	}

	@Test
	void stopWithoutTimeEndsAtOnce() {
		assertThat(StopSchedule.of(5, 3000, -600, 100)).isEqualTo(new StopSchedule(5, 5, 5, 5));
	}

	@Test
	void remainingTimeIsNeverNegative() {
		assertThat(this.stop.remainingMillis(BEGAN_MILLIS + 7000)).isEqualTo(1000);
		assertThat(this.stop.elapsedMillis(BEGAN_MILLIS + 7000)).isEqualTo(7000);
		assertThat(this.stop.remainingMillis(BEGAN_MILLIS + 14_000)).isZero();
	}

	@Property(seed = "20261202")
	void requestsAcceptedOnceSendersKnowEndInTime(@ForAll @LongRange(max = 10_000) long knownAfterMillis,
			@ForAll @LongRange(max = 10_000) long totalMillis, @ForAll @LongRange(max = 500) long marginMillis,
			@ForAll @LongRange(max = 12_000) long atMillis, @ForAll @LongRange(max = 12_000) long neededMillis) {
		StopSchedule schedule = StopSchedule.of(0, knownAfterMillis, totalMillis, marginMillis);
		if (schedule.knownToSenders(atMillis) && admits(schedule, atMillis, neededMillis)) {
			assertThat(atMillis + neededMillis).isLessThanOrEqualTo(Math.max(0, totalMillis - marginMillis));
		}
	}

}
