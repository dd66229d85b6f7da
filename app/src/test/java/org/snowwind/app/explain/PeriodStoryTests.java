package org.snowwind.app.explain;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link PeriodStory}.
 */
class PeriodStoryTests {

	private static final Instant FROM = Instant.parse("2026-07-13T09:00:00Z");

	private final List<String> logged = new ArrayList<>();

	private void log(long atMillis, String event, String fields) {
		this.logged
			.add("front-1 {\"time\":\"" + FROM.plusMillis(atMillis) + "\",\"event\":\"" + event + "\"," + fields + "}");
	}

	private void routed(long atMillis, String id) {
		log(atMillis, "SW-4101", "\"request\":\"" + id + "\",\"targetMillis\":500,\"pauseTargetMillis\":120");
		log(atMillis, "SW-4102", "\"request\":\"" + id + "\",\"group\":\"g\"");
	}

	private void ended(long atMillis, String id, String outcome, long events, long firstMillis, long pauseMillis) {
		log(atMillis, "SW-4104", "\"request\":\"" + id + "\",\"outcome\":\"" + outcome + "\",\"events\":" + events
				+ ",\"firstMillis\":" + firstMillis + ",\"pauseMillis\":" + pauseMillis + ",\"tookMillis\":2000");
	}

	private PeriodStory story() {
		return PeriodStory.of(this.logged, FROM, FROM.plusSeconds(10));
	}

	private LossCause only() {
		PeriodStory story = story();
		List<LossCause> found = new ArrayList<>();
		for (LossCause cause : LossCause.values()) {
			if (story.count(cause) > 0) {
				found.add(cause);
			}
		}
		assertThat(found).hasSize(1);
		return found.get(0);
	}

	@Test
	void aStreamOnTimeIsNoLoss() {
		routed(0, "a");
		ended(2000, "a", "200", 20, 150, 90);
		assertThat(only()).isEqualTo(LossCause.NONE);
	}

	@Test
	void aRefusalInAStopIsCountedAsOne() {
		log(1000, "SW-1210", "\"request\":\"a\",\"asksMillis\":8000,\"leftMillis\":3500");
		assertThat(only()).isEqualTo(LossCause.REFUSED_BY_STOP);
	}

	@Test
	void aLateFirstEventIsSaidSo() {
		routed(0, "a");
		ended(2000, "a", "200", 20, 600, 150);
		assertThat(only()).isEqualTo(LossCause.LATE_FIRST_EVENT);
	}

	@Test
	void aLongPauseAfterAMoveOfDemandIsPutDownToIt() {
		log(100, "SW-6205", "\"group\":\"g\"");
		routed(1000, "a");
		ended(3000, "a", "200", 20, 150, 130);
		assertThat(only()).isEqualTo(LossCause.LATE_PAUSE_DEMAND_MOVED);
	}

	@Test
	void aMoveOfAnotherGroupExplainsNothing() {
		log(100, "SW-6205", "\"group\":\"other\"");
		routed(1000, "a");
		ended(3000, "a", "200", 20, 150, 130);
		assertThat(only()).isEqualTo(LossCause.LATE_PAUSE_LONG_PASSES);
	}

	@Test
	void aGroupThatStoodStillGoesFirst() {
		log(100, "SW-6205", "\"group\":\"g\"");
		log(1500, "SW-3010", "\"group\":\"g\"");
		routed(1000, "a");
		ended(3000, "a", "200", 20, 150, 900);
		assertThat(only()).isEqualTo(LossCause.LATE_PAUSE_STANDSTILL);
	}

	@Test
	void whoIsTurnedAwayIsToldWhy() {
		routed(0, "a");
		log(1, "SW-4106", "\"request\":\"a\",\"closed\":true");
		ended(2, "a", "overloaded", 0, 0, 0);
		assertThat(only()).isEqualTo(LossCause.GROUPS_CLOSED);
		routed(10, "b");
		log(300, "SW-4106", "\"request\":\"b\",\"closed\":false");
		ended(300, "b", "overloaded", 0, 0, 0);
		assertThat(story().count(LossCause.NO_ROOM)).isEqualTo(1);
		routed(400, "c");
		log(401, "SW-4106", "\"request\":\"c\",\"closed\":true,\"returnMillis\":2000");
		ended(401, "c", "overloaded", 0, 0, 0);
		assertThat(story().count(LossCause.SERVERS_BACKED_OFF)).isEqualTo(1);
	}

	@Test
	void aPlainAnswerThatTookTooLongIsLate() {
		routed(0, "a");
		ended(2000, "a", "200", 0, 0, 0);
		assertThat(only()).isEqualTo(LossCause.LATE_ANSWER);
	}

	@Test
	void whatHasNoCauseAndWhatHasNoEndIsSaidSo() {
		routed(0, "a");
		routed(0, "b");
		ended(2000, "b", "302", 0, 0, 0);
		assertThat(story().count(LossCause.END_NOT_LOGGED)).isEqualTo(1);
		assertThat(story().count(LossCause.UNKNOWN)).isEqualTo(1);
	}

	@Test
	void onlyThePeriodCountsAndLossesStandUnderTheirSecond() {
		routed(-5, "before");
		routed(10_000, "after");
		routed(3200, "a");
		ended(3300, "a", "caller-gone", 0, 0, 0);
		assertThat(story().render()).containsExactly("     1 requests", "     1  100.0%  its caller left",
				"losses by second:", "     3 s  1");
	}

}
