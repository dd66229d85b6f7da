package org.snowwind.gateway.backend;

import java.util.Set;

import org.junit.jupiter.api.Test;
import org.snowwind.gateway.table.EngineProfile;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link GroupLoad} and {@link Wanted}.
 */
class GroupLoadTests {

	private static final EngineProfile PROFILE = new EngineProfile(8, 300_000, 6, 5, 0.5, 0.01, 70_000, 6, 64, 11, 4,
			1700, 92_000, 0.85);

	private static final long TARGET_MILLIS = 120;

	private static final int SLOTS = 64;

	private final GroupLoad group = new GroupLoad("g");

	private void passes(int load, long passMillis, int events, long nowMillis) {
		this.group.count(8, load);
		for (int i = 0; i < events; i++) {
			this.group.paused(passMillis, TARGET_MILLIS, PROFILE, nowMillis);
		}
	}

	private int limit(long nowMillis) {
		return this.group.limit(TARGET_MILLIS, PROFILE, nowMillis);
	}

	@Test
	void beforeAnythingIsSeenAllSlotsAreFilled() {
		this.group.count(8, 0);
		assertThat(limit(0)).isEqualTo(SLOTS);
	}

	@Test
	void shortPassesLetAllSlotsBeFilled() {
		passes(60, 60, 100, 10_000);
		assertThat(limit(10_000)).isEqualTo(SLOTS);
	}

	@Test
	void longPassesCloseTheGroupEarlierButNeverBelowAboutHalf() {
		passes(60, 100, 100, 10_000);
		assertThat(limit(10_000)).isLessThan(60).isGreaterThan(SLOTS / 2);
		passes(60, 300, 200, 10_000);
		assertThat(limit(10_000)).isGreaterThan(SLOTS / 2);
	}

	@Test
	void aStallSaysNothingOfTheLoad() {
		passes(20, 60, 100, 10_000);
		this.group.paused(1500, TARGET_MILLIS, PROFILE, 10_100);
		assertThat(this.group.passMillis()).isBetween(59.0, 61.0);
	}

	@Test
	void whatWasSeenLongAgoIsForgotten() {
		passes(60, 119, 100, 10_000);
		assertThat(limit(10_000)).isLessThan(SLOTS);
		assertThat(limit(13_000)).isEqualTo(SLOTS);
	}

	@Test
	void severalRefusalsInARowCloseTheGroupForAWhile() {
		this.group.refused(1000);
		this.group.refused(1001);
		assertThat(this.group.open(1001)).isTrue();
		this.group.refused(1002);
		assertThat(this.group.open(1002)).isFalse();
		assertThat(this.group.open(2000)).isTrue();
	}

	@Test
	void anEventShowsThatTheGroupWorks() {
		this.group.refused(1000);
		this.group.refused(1001);
		this.group.paused(60, TARGET_MILLIS, PROFILE, 1002);
		this.group.refused(1003);
		assertThat(this.group.open(1003)).isTrue();
	}

	@Test
	void aClosedGroupIsAskedByOneRequestAtATime() {
		closed(1000);
		assertThat(this.group.open(2000)).isTrue();
		this.group.sent();
		assertThat(this.group.open(2001)).as("one asks").isFalse();
		this.group.ended();
		this.group.refused(2002);
		assertThat(this.group.open(2003)).as("it was refused").isFalse();
		assertThat(this.group.open(3000)).isTrue();
		this.group.sent();
		this.group.streamBegan(3100);
		assertThat(this.group.closed()).isFalse();
		assertThat(this.group.open(3100)).isTrue();
	}

	@Test
	void aGroupWhoseStreamsAreAllSilentGetsNothingNew() {
		Wanted wanted = new Wanted("s", Set.of(), 0, PROFILE, TARGET_MILLIS);
		this.group.count(8, 2);
		this.group.streamBegan(1000);
		assertThat(this.group.roomShare(wanted, 1400)).isPositive();
		assertThat(this.group.roomShare(wanted, 1600)).isZero();
		assertThat(this.group.closed()).isTrue();
		this.group.paused(600, TARGET_MILLIS, PROFILE, 1610);
		assertThat(this.group.roomShare(wanted, 1610)).isPositive();
	}

	@Test
	void aGroupWithoutStreamsIsNotStandingStill() {
		Wanted wanted = new Wanted("s", Set.of(), 0, PROFILE, TARGET_MILLIS);
		this.group.count(8, 0);
		this.group.streamBegan(1000);
		this.group.streamsLeft(1);
		assertThat(this.group.roomShare(wanted, 60_000)).isPositive();
	}

	private void closed(long nowMillis) {
		for (int i = 0; i < 3; i++) {
			this.group.refused(nowMillis);
		}
		assertThat(this.group.closed()).isTrue();
	}

}
