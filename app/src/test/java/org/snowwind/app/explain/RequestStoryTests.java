package org.snowwind.app.explain;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link RequestStory} on recorded lines.
 */
class RequestStoryTests {

	private static final String ROUTED = "3.5 front-2 {\"time\":\"2026-07-13T09:23:14.585Z\",\"level\":\"INFO\","
			+ "\"event\":\"SW-4101\",\"message\":\"request routed\",\"request\":\"bc48\",\"route\":\"r-1\",\"table\":12}";

	private static final String SENT = "3.5 front-2 {\"time\":\"2026-07-13T09:23:14.586Z\",\"level\":\"INFO\","
			+ "\"event\":\"SW-4102\",\"message\":\"request sent\",\"request\":\"bc48\",\"server\":\"i-1\",\"attempt\":1}";

	private static final String LOST = "4.5 front-2 {\"time\":\"2026-07-13T09:23:15.587Z\",\"level\":\"INFO\","
			+ "\"event\":\"SW-4103\",\"message\":\"attempt ended\",\"request\":\"bc48\",\"server\":\"i-1\","
			+ "\"end\":\"LOST_FOR_GOOD\",\"status\":0,\"cause\":\"no answer\",\"tookMillis\":1001}";

	private static final String ENDED = "4.5 front-2 {\"time\":\"2026-07-13T09:23:15.588Z\",\"level\":\"INFO\","
			+ "\"event\":\"SW-4104\",\"message\":\"request ended\",\"request\":\"bc48\",\"outcome\":\"backend-failed\","
			+ "\"ran\":\"unknown\",\"sends\":1,\"tookMillis\":1002}";

	private static final String OTHER = ENDED.replace("bc48", "ffff");

	@Test
	void stepsComeInOrderAndTheCauseLast() {
		List<String> story = RequestStory.of("bc48", List.of(ENDED, OTHER, SENT, "noise bc48", LOST, ROUTED)).render();
		assertThat(story).hasSize(5);
		assertThat(story.get(0)).contains("0 ms").contains("SW-4101").contains("route=r-1");
		assertThat(story.get(2)).contains("1002 ms").contains("end=LOST_FOR_GOOD");
		assertThat(story.get(4)).isEqualTo("cause: a server failed after the request may have run; the last attempt, "
				+ "at i-1, ended LOST_FOR_GOOD (no answer)");
	}

	@Test
	void aRequestWithoutAnEndIsSaidSo() {
		assertThat(RequestStory.of("bc48", List.of(ROUTED, SENT)).cause()).contains("its end was not logged");
	}

	@Test
	void anUnknownRequestIsSaidSo() {
		RequestStory story = RequestStory.of("0000", List.of(ROUTED));
		assertThat(story.known()).isFalse();
		assertThat(story.render()).containsExactly("cause: no line names request 0000");
	}

	@Test
	void aRefusalNamesItsKindAndTable() {
		String refused = ROUTED.replace("SW-4101", "SW-4105").replace("\"route\":\"r-1\"", "\"kind\":\"unknown-path\"");
		assertThat(RequestStory.of("bc48", List.of(refused)).cause())
			.isEqualTo("refused before anything was sent: unknown-path by table 12");
	}

	@Test
	void aRefusalByAnOlderTableNamesWhoKnewANewerOne() {
		String refused = ROUTED.replace("SW-4101", "SW-4105")
			.replace("\"route\":\"r-1\"", "\"kind\":\"unknown-organisation\",\"unconfirmedMillis\":5300,"
					+ "\"toldVersion\":40,\"toldBy\":\"10.1.0.4:8229\",\"behindMillis\":3400");
		assertThat(RequestStory.of("bc48", List.of(refused)).cause())
			.isEqualTo("refused before anything was sent: unknown-organisation by table 12, unconfirmed for 5300 ms; "
					+ "10.1.0.4:8229 had told of 40 for 3400 ms");
	}

	@Test
	void aRefusalInAStopNamesWhatWasAskedAndLeft() {
		String refused = ROUTED.replace("SW-4101", "SW-1210")
			.replace("\"route\":\"r-1\"", "\"asksMillis\":8000,\"leftMillis\":3537");
		assertThat(RequestStory.of("bc48", List.of(refused)).cause()).isEqualTo(
				"refused before anything was sent: it asks for 8000 ms, and the stop of its gateway had 3537 ms left");
	}

	@Test
	void aRequestThatAStopEndedIsSaidSo() {
		String cutOff = ROUTED.replace("SW-4101", "SW-1208");
		assertThat(RequestStory.of("bc48", List.of(ROUTED, SENT, cutOff, LOST, ENDED)).cause())
			.startsWith("its gateway's stop ended it; a server failed");
	}

	@Test
	void aRequestThatEndsServersIsSaidSo() {
		String refused = ENDED.replace("backend-failed", "ends-servers").replace("\"sends\":1", "\"sends\":0");
		assertThat(RequestStory.of("bc48", List.of(ROUTED, refused)).cause()).startsWith("servers ended while they ran")
			.contains("SW-4110")
			.endsWith("nothing was sent to a server");
	}

	@Test
	void aLateAnswerNamesItsPauses() {
		String late = ENDED.replace("backend-failed", "200")
			.replace("\"sends\":1", "\"firstMillis\":180,\"pauseMillis\":240");
		assertThat(RequestStory.of("bc48", List.of(ROUTED, late)).cause())
			.isEqualTo("answered with 200; first byte after 180 ms, longest pause 240 ms");
	}

}
