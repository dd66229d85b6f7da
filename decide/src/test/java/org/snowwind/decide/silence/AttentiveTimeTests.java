package org.snowwind.decide.silence;

import java.util.Random;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link AttentiveTime}.
 */
class AttentiveTimeTests {

	private static final long START_MILLIS = 5000;

	private final AttentiveTime time = new AttentiveTime(START_MILLIS, 200);

	@Test
	void timeBetweenRegularTicksCountsInFull() {
		for (long nowMillis = START_MILLIS; nowMillis <= START_MILLIS + 1000; nowMillis += 100) {
			this.time.tick(nowMillis);
		}
		assertThat(this.time.millis(START_MILLIS + 1000)).isEqualTo(1000);
		assertThat(this.time.millis(START_MILLIS + 1070)).isEqualTo(1070);
	}

	@Test
	void pauseOfAnyLengthCountsAsOneStepAtMost() {
		this.time.tick(START_MILLIS);
		assertThat(this.time.millis(START_MILLIS + 60_000)).isEqualTo(200);
		this.time.tick(START_MILLIS + 60_000);
		this.time.tick(START_MILLIS + 60_000);
		assertThat(this.time.millis(START_MILLIS + 60_050)).isEqualTo(250);
	}

	@Test
	void pausesInSeriesEachCountAsOneStep() {
		this.time.tick(START_MILLIS);
		this.time.tick(START_MILLIS + 1300);
		this.time.tick(START_MILLIS + 2600);
		assertThat(this.time.millis(START_MILLIS + 3900)).isEqualTo(600);
	}

	@Test
	void allTimeCountsUntilTheFirstTick() {
		assertThat(this.time.millis(START_MILLIS + 700)).isEqualTo(700);
		this.time.tick(START_MILLIS + 700);
		assertThat(this.time.millis(START_MILLIS + 1700)).isEqualTo(900);
	}

	@Test
	void olderReadingOfTheClockCountsNothingTwice() {
		this.time.tick(START_MILLIS + 100);
		this.time.tick(START_MILLIS + 40);
		assertThat(this.time.millis(START_MILLIS + 100)).isEqualTo(100);
		assertThat(this.time.millis(START_MILLIS + 40)).isEqualTo(100);
	}

	@Test
	void neverDecreasesAndNeverRunsFasterThanTheClock() {
		Random random = new Random(7);
		long nowMillis = START_MILLIS;
		long lastMillis = 0;
		for (int i = 0; i < 10_000; i++) {
			long elapsedMillis = (random.nextInt(10) == 0) ? random.nextInt(5000) : random.nextInt(120);
			nowMillis += elapsedMillis;
			if (random.nextBoolean()) {
				this.time.tick(nowMillis);
			}
			assertThat(this.time.millis(nowMillis)).isBetween(lastMillis, lastMillis + elapsedMillis);
			lastMillis = this.time.millis(nowMillis);
		}
	}

	@Test
	void pauseIsKnownBeforeAndAfterTheTickThatEndsIt() {
		this.time.tick(START_MILLIS);
		assertThat(this.time.hasPausedSince(START_MILLIS, START_MILLIS + 200)).isFalse();
		assertThat(this.time.hasPausedSince(START_MILLIS, START_MILLIS + 300)).isTrue();
		this.time.tick(START_MILLIS + 300);
		assertThat(this.time.hasPausedSince(START_MILLIS + 290, START_MILLIS + 310)).isTrue();
		assertThat(this.time.hasPausedSince(START_MILLIS + 300, START_MILLIS + 310)).isFalse();
	}

	@Test
	void noPauseIsKnownBeforeTheFirstTick() {
		assertThat(this.time.hasPausedSince(START_MILLIS, START_MILLIS + 5000)).isFalse();
	}

}
