package org.snowwind.gateway.stop;

import org.junit.jupiter.api.Test;
import org.snowwind.decide.stop.StopSchedule;
import org.snowwind.model.ManualClock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for the plan of a {@link GracefulStop}.
 */
class GracefulStopTests {

	private static final long GRACE_MILLIS = 8000;

	/** What a stream asks whose caller waits 8 s. */
	private static final long STREAM_MILLIS = 8020;

	private final ManualClock clock = new ManualClock(50_000);

	private final StopSchedule schedule = GracefulStop.plan(this.clock.nowMillis(), GRACE_MILLIS);

	private boolean takes(long allowedMillis) {
		return this.schedule.accepts(this.clock.nowMillis(), this.clock.nowMillis() + allowedMillis);
	}

	@Test
	void theMomentsFollowFromTheGrace() {
		long beganMillis = this.clock.nowMillis();
		assertThat(this.schedule)
			.isEqualTo(new StopSchedule(beganMillis, beganMillis + 2900, beganMillis + 7200, beganMillis + 7300));
	}

	@Test
	void allIsTakenUntilTheBalancerMustHaveNoticed() {
		this.clock.advance(2899);
		assertThat(takes(STREAM_MILLIS)).isTrue();
		this.clock.advance(1);
		assertThat(takes(STREAM_MILLIS)).isFalse();
	}

	@Test
	void thenOnlyWhatCertainlyEndsBeforeTheStopIsTaken() {
		this.clock.advance(2900);
		assertThat(takes(4300)).isTrue();
		assertThat(takes(4301)).as("no time is left to write the answer").isFalse();
		this.clock.advance(3700);
		assertThat(takes(600)).isTrue();
		assertThat(takes(601)).isFalse();
	}

	@Test
	void aGraceThatIsShorterThanTheBalancerNeedsStillHasOneEnd() {
		StopSchedule brief = GracefulStop.plan(0, 2000);
		assertThat(brief).isEqualTo(new StopSchedule(0, 1300, 1200, 1300));
		assertThat(brief.accepts(1299, 9000)).isTrue();
		assertThat(brief.accepts(1300, 1301)).isFalse();
	}

	@Test
	void aGraceWithoutRoomEndsAtOnce() {
		assertThat(GracefulStop.plan(5, 100)).isEqualTo(new StopSchedule(5, 5, 5, 5));
	}

	@Test
	void whatIsLeftNeverFallsBelowNothing() {
		this.clock.advance(7000);
		assertThat(this.schedule.remainingMillis(this.clock.nowMillis())).isEqualTo(300);
		assertThat(this.schedule.elapsedMillis(this.clock.nowMillis())).isEqualTo(7000);
		this.clock.advance(7000);
		assertThat(this.schedule.remainingMillis(this.clock.nowMillis())).isZero();
	}

}
