package org.snowwind.decide.stop;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;
import org.snowwind.model.ManualClock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link StopSchedule}.
 */
class StopScheduleTests {

	private static final long KNOWN_AFTER_MILLIS = 3000;

	private static final long TOTAL_MILLIS = 8000;

	private final ManualClock clock = new ManualClock(50_000);

	private final StopSchedule stop = new StopSchedule(this.clock, KNOWN_AFTER_MILLIS, TOTAL_MILLIS);

	@Test
	void whileNobodyCanKnowOfTheStopAllIsTaken() {
		this.clock.advance(KNOWN_AFTER_MILLIS - 1);
		assertThat(this.stop.known()).isFalse();
		assertThat(this.stop.takes(60_000)).isTrue();
	}

	@Test
	void onceKnownOnlyWhatSurelyEndsInTimeIsTaken() {
		this.clock.advance(KNOWN_AFTER_MILLIS);
		assertThat(this.stop.known()).isTrue();
		assertThat(this.stop.takes(TOTAL_MILLIS - KNOWN_AFTER_MILLIS)).isTrue();
		assertThat(this.stop.takes(TOTAL_MILLIS - KNOWN_AFTER_MILLIS + 1)).isFalse();
	}

	@Test
	void atTheEndNothingIsTaken() {
		this.clock.advance(TOTAL_MILLIS);
		assertThat(this.stop.over()).isTrue();
		assertThat(this.stop.takes(0)).isFalse();
		assertThat(this.stop.boundedMillis(100)).isZero();
	}

	@Test
	void whatIsTakenEarlyIsBoundedByTheEnd() {
		this.clock.advance(1000);
		assertThat(this.stop.takes(60_000)).isTrue();
		assertThat(this.stop.boundedMillis(60_000)).isEqualTo(TOTAL_MILLIS - 1000);
		assertThat(this.stop.boundedMillis(200)).isEqualTo(200);
	}

	@Test
	void aStopThatIsShorterThanTheNoticeTakesNothingAfterItsEnd() {
		StopSchedule shortStop = new StopSchedule(this.clock, KNOWN_AFTER_MILLIS, 100);
		this.clock.advance(100);
		assertThat(shortStop.known()).isTrue();
		assertThat(shortStop.takes(1)).isFalse();
	}

	@Property(seed = "20261202")
	void whatIsTakenOnceTheStopIsKnownEndsBeforeIt(@ForAll @LongRange(max = 10_000) long knownAfterMillis,
			@ForAll @LongRange(max = 10_000) long totalMillis, @ForAll @LongRange(max = 12_000) long atMillis,
			@ForAll @LongRange(max = 12_000) long neededMillis) {
		ManualClock time = new ManualClock(0);
		StopSchedule subject = new StopSchedule(time, knownAfterMillis, totalMillis);
		time.advance(atMillis);
		if (subject.known() && subject.takes(neededMillis)) {
			assertThat(atMillis + neededMillis).isLessThanOrEqualTo(totalMillis);
		}
	}

}
