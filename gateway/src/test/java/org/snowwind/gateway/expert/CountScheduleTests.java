package org.snowwind.gateway.expert;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link CountSchedule}.
 */
class CountScheduleTests {

	private static final long NEVER = Long.MIN_VALUE;

	private final CountSchedule schedule = new CountSchedule();

	private int reads(long fromMillis, long untilMillis, long jumpedMillis) {
		int reads = 0;
		for (long nowMillis = fromMillis; nowMillis < untilMillis; nowMillis += 10) {
			reads += this.schedule.due(nowMillis, jumpedMillis, NEVER, 1) ? 1 : 0;
		}
		return reads;
	}

	@Test
	void countsAreReadTwiceASecondWhilePassesAreAsTheyWere() {
		assertThat(reads(0, 5000, NEVER)).isEqualTo(10);
	}

	@Test
	void passesThatJumpAreAskedAboutAtOnceAndForAMoment() {
		assertThat(reads(0, 600, NEVER)).isEqualTo(2);
		assertThat(this.schedule.due(610, 605, NEVER, 1)).isTrue();
		assertThat(reads(620, 860, 605)).as("two more, 120 ms apart").isEqualTo(2);
		assertThat(reads(860, 1300, 605)).as("then as before").isZero();
	}

	@Test
	void aMoveThatWasSeenNeedsNoFurtherReads() {
		assertThat(this.schedule.due(610, 605, NEVER, 1)).isTrue();
		this.schedule.moved();
		assertThat(this.schedule.due(740, 605, NEVER, 1)).as("was planned before the move was seen").isTrue();
		assertThat(reads(750, 1200, 605)).isZero();
	}

	@Test
	void aGroupThatWasFormedAnewIsReadTwiceAtOnce() {
		assertThat(reads(0, 100, NEVER)).isEqualTo(1);
		this.schedule.formedAnew();
		assertThat(reads(100, 230, NEVER)).isEqualTo(2);
	}

	@Test
	void whatAnotherGroupHasReadIsNotReadAgain() {
		assertThat(this.schedule.due(1000, NEVER, 500, 1)).isFalse();
		assertThat(this.schedule.due(1300, NEVER, 500, 1)).isTrue();
	}

	@Test
	void passesThatJumpAreAskedAboutWhateverOthersHaveRead() {
		assertThat(this.schedule.due(1000, 990, 950, 1)).isTrue();
	}

	@Test
	void severalRanksHaveTheirTurnsInTheTimeOfOne() {
		int reads = 0;
		for (long nowMillis = 0; nowMillis < 10_000; nowMillis += 5) {
			reads += this.schedule.due(nowMillis, NEVER, NEVER, 4) ? 1 : 0;
		}
		assertThat(reads).isEqualTo(80);
	}

}
