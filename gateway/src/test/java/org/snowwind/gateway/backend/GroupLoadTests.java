package org.snowwind.gateway.backend;

import java.util.Set;

import org.junit.jupiter.api.Test;
import org.snowwind.decide.silence.AttentiveTime;
import org.snowwind.gateway.table.EngineProfile;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link GroupLoad} and {@link ServerRequirements}.
 */
class GroupLoadTests {

	private static final EngineProfile PROFILE = new EngineProfile(8, 300_000, 6, 5, 0.5, 0.01, 70_000, 6, 64, 11, 4,
			1700, 92_000, 0.85);

	private static final long TARGET_MILLIS = 120;

	private static final int SLOTS = 64;

	private final AttentiveTime attentive = new AttentiveTime(0, AttentiveTime.LONGEST_STEP_MILLIS);

	private final GroupLoad group = new GroupLoad("g", GroupLimit.meanPass(), this.attentive);

	private void observePasses(int load, long passMillis, int events, long nowMillis) {
		this.group.updateCounts(new GroupLoad.Counts(8, load, 0), 1);
		for (int i = 0; i < events; i++) {
			this.group.onPause(passMillis, TARGET_MILLIS, PROFILE, nowMillis);
		}
	}

	private int limit(long nowMillis) {
		return this.group.limit(TARGET_MILLIS, PROFILE, nowMillis);
	}

	@Test
	void allSlotsAreUsedBeforeFirstObservation() {
		this.group.updateCounts(new GroupLoad.Counts(8, 0, 0), 1);
		assertThat(limit(0)).isEqualTo(SLOTS);
	}

	@Test
	void allSlotsAreUsedWhilePassesAreShort() {
		observePasses(60, 60, 100, 10_000);
		assertThat(limit(10_000)).isEqualTo(SLOTS);
	}

	@Test
	void longPassesLowerTheLimitButNotBelowHalfOfTheSlots() {
		observePasses(60, 100, 100, 10_000);
		assertThat(limit(10_000)).isLessThan(60).isGreaterThan(SLOTS / 2);
		observePasses(60, 300, 200, 10_000);
		assertThat(limit(10_000)).isGreaterThan(SLOTS / 2);
	}

	@Test
	void stallDoesNotChangePassTime() {
		observePasses(20, 60, 100, 10_000);
		this.group.onPause(1500, TARGET_MILLIS, PROFILE, 10_100);
		assertThat(this.group.passMillis()).isBetween(59.0, 61.0);
	}

	@Test
	void staleObservationsAreIgnored() {
		observePasses(60, 119, 100, 10_000);
		assertThat(limit(10_000)).isLessThan(SLOTS);
		assertThat(limit(13_000)).isEqualTo(SLOTS);
	}

	@Test
	void successiveRejectionsCloseTheGroupTemporarily() {
		this.group.onRejection(1000);
		this.group.onRejection(1001);
		assertThat(this.group.accepts(1001)).isTrue();
		this.group.onRejection(1002);
		assertThat(this.group.accepts(1002)).isFalse();
		assertThat(this.group.accepts(2000)).isTrue();
	}

	@Test
	void eventResetsTheCountOfRejections() {
		this.group.onRejection(1000);
		this.group.onRejection(1001);
		this.group.onPause(60, TARGET_MILLIS, PROFILE, 1002);
		this.group.onRejection(1003);
		assertThat(this.group.accepts(1003)).isTrue();
	}

	@Test
	void closedGroupGetsOneProbeAtATime() {
		close(1000);
		assertThat(this.group.accepts(2000)).isTrue();
		this.group.sent(2000);
		assertThat(this.group.accepts(2001)).as("a probe is in flight").isFalse();
		this.group.onRequestEnd();
		this.group.onRejection(2002);
		assertThat(this.group.accepts(2003)).as("the probe was rejected").isFalse();
		assertThat(this.group.accepts(3000)).isTrue();
		this.group.sent(3000);
		this.group.streamBegan(3100);
		assertThat(this.group.isClosed()).isFalse();
		assertThat(this.group.accepts(3100)).isTrue();
	}

	@Test
	void silentProbeDoesNotKeepAGroupClosedUntilItsDeadline() {
		close(1000);
		this.group.sent(2000);
		assertThat(this.group.accepts(2999)).isFalse();
		assertThat(this.group.accepts(3000)).as("the probe is silent").isTrue();
		this.group.sent(3000);
		assertThat(this.group.accepts(3001)).as("another probe is in flight").isFalse();
	}

	@Test
	void groupWithoutEventsOnAnyStreamGetsNoNewRequests() {
		ServerRequirements requirements = new ServerRequirements("s", Set.of(), 0, PROFILE, TARGET_MILLIS);
		this.group.updateCounts(new GroupLoad.Counts(8, 2, 0), 1);
		this.group.streamBegan(1000);
		assertThat(this.group.freeShare(requirements, 1400)).isPositive();
		assertThat(this.group.freeShare(requirements, 1600)).isZero();
		assertThat(this.group.isClosed()).isTrue();
		this.group.onPause(600, TARGET_MILLIS, PROFILE, 1610);
		assertThat(this.group.freeShare(requirements, 1610)).isPositive();
	}

	@Test
	void groupWithoutStreamsIsNotStalled() {
		ServerRequirements requirements = new ServerRequirements("s", Set.of(), 0, PROFILE, TARGET_MILLIS);
		this.group.updateCounts(new GroupLoad.Counts(8, 0, 0), 1);
		this.group.streamBegan(1000);
		this.group.removeStreams(1);
		assertThat(this.group.freeShare(requirements, 60_000)).isPositive();
	}

	private void close(long nowMillis) {
		for (int i = 0; i < 3; i++) {
			this.group.onRejection(nowMillis);
		}
		assertThat(this.group.isClosed()).isTrue();
	}

}
