package org.snowwind.gateway.request;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for streams in {@link Relay} of which an attempt fails: nothing that belongs to
 * one attempt may reach the answer of the next, and what was seen to be broken must not
 * look whole. Over real sockets.
 */
class RelayStreamTests {

	private static final String SIGNED = "t-signed: 1\r\nt-id: r1\r\n";

	private static final String UNFRAMED = "HTTP/1.1 200 OK\r\n" + SIGNED + "\r\n";

	private static final String LAST_CHUNK = "0\r\n\r\n";

	private final GatewayFixture gateway = new GatewayFixture().routed();

	@AfterEach
	void close() {
		this.gateway.close();
	}

	private static String chunked(String headers) {
		return "HTTP/1.1 200 OK\r\n" + SIGNED + headers + "Transfer-Encoding: chunked\r\n\r\n";
	}

	private static String event(int id) {
		return "id: " + id + "\ndata: text " + id + "\n\n";
	}

	private static ScriptedServer.Script whole(String events) {
		return whole("", events);
	}

	private static ScriptedServer.Script whole(String headers, String events) {
		return (request, answer) -> {
			answer.raw(chunked(headers));
			if (!events.isEmpty()) {
				answer.chunk(events);
			}
			answer.raw(LAST_CHUNK);
		};
	}

	private static ScriptedServer.Script breaking(String events) {
		return breaking("", events);
	}

	private static ScriptedServer.Script breaking(String headers, String events) {
		return (request, answer) -> {
			answer.raw(chunked(headers));
			if (!events.isEmpty()) {
				answer.chunk(events);
			}
			answer.reset();
		};
	}

	private static void assertWhole(String answer, String body) {
		assertThat(GatewayFixture.bodyOf(answer)).isEqualTo(body);
		assertThat(answer).endsWith(LAST_CHUNK);
	}

	private static void assertCut(String answer, String body) {
		assertThat(GatewayFixture.bodyOf(answer)).isEqualTo(body);
		assertThat(answer).doesNotEndWith(LAST_CHUNK);
	}

	// ---- the bytes of an attempt

	@Test
	void whereverAnAnswerBreaksTheCallerGetsItWhole() throws IOException {
		String body = event(8) + event(9);
		for (int length = 0; length <= body.length(); length += 3) {
			String begin = body.substring(0, length);
			try (GatewayFixture fresh = new GatewayFixture().routed()) {
				fresh.server(breaking(begin));
				fresh.server((request, answer) -> {
					int last = Integer.parseInt(request.headers().get("t-last"));
					String rest = (last == 9) ? "" : body.substring((last - 7) * event(8).length());
					whole(rest).answer(request, answer);
				});
				assertWhole(fresh.call("/stream/a", "t-last: 7"), body);
			}
		}
	}

	@Test
	void anEventThatBreaksBetweenCarriageReturnAndLineFeedComesOnce() throws IOException {
		this.gateway.server(breaking("id: 1\r\ndata: a\r\n\r"));
		this.gateway.server(whole("id: 1\r\ndata: a\r\n\r\n"));
		assertWhole(this.gateway.call("/stream/a"), "id: 1\r\ndata: a\r\n\r\n");
	}

	@Test
	void whatAServerSendsAfterItWasGivenUpIsNoPartOfTheStream() throws IOException {
		CountDownLatch takenOver = new CountDownLatch(1);
		CountDownLatch wroteLate = new CountDownLatch(1);
		this.gateway.server((request, answer) -> {
			answer.raw(chunked(""));
			answer.chunk(event(1) + "id: 2\n");
			answer.until(takenOver);
			try {
				answer.chunk("data: late\n\n");
			}
			finally {
				wroteLate.countDown();
			}
		});
		this.gateway.server((request, answer) -> {
			takenOver.countDown();
			answer.until(wroteLate);
			whole(event(2)).answer(request, answer);
		});
		assertWhole(this.gateway.call("/stream/a"), event(1) + event(2));
	}

	@Test
	void whatFollowsTheEndOfAnAnswerIsNoPartOfTheStream() throws IOException {
		this.gateway.server((request, answer) -> {
			whole(event(1)).answer(request, answer);
			whole(event(2)).answer(request, answer);
		});
		assertWhole(this.gateway.call("/stream/a"), event(1));
	}

	@Test
	void thePlainBodyOfAnAttemptIsNoPartOfTheNextAnswer() throws IOException {
		this.gateway.server(breaking("half"));
		this.gateway.server((request, answer) -> answer.whole(200, SIGNED, "whole"));
		assertThat(this.gateway.call("/many/a")).startsWith("HTTP/1.1 200").endsWith("\r\n\r\nwhole");
	}

	@Test
	void contentThatWasSpoiledWithinAnEventIsNotSeen() throws IOException {
		String spoiled = "id: 1\ndata: te\u0001t 1\n\n";
		this.gateway.server(whole(spoiled + event(2)));
		assertWhole(this.gateway.call("/stream/a"), spoiled + event(2));
	}

	// ---- the head of an attempt

	@Test
	void theHeadIsThatOfTheServerWhoseEventGoesOutFirst() throws IOException {
		this.gateway.server(breaking("t-by: first\r\n", "id: 1\nda"));
		this.gateway.server(whole("t-by: second\r\n", event(1)));
		String answer = this.gateway.call("/stream/a");
		assertThat(answer).contains("t-by: second").doesNotContain("t-by: first");
		assertWhole(answer, event(1));
	}

	@Test
	void aHeadWithoutAnyWholeEventIsTriedElsewhere() throws IOException {
		this.gateway.server(whole(""));
		this.gateway.server(whole(event(1)));
		assertWhole(this.gateway.call("/stream/a"), event(1));
	}

	@Test
	void aFailureDoesNotContinueAStream() throws IOException {
		this.gateway.server(breaking(event(1)));
		this.gateway.server((request, answer) -> answer.whole(500, SIGNED, "oops\n\n"));
		assertCut(this.gateway.call("/stream/a"), event(1));
	}

	@Test
	void contentOfAnotherTypeDoesNotContinueAStream() throws IOException {
		this.gateway.server(breaking("Content-Type: text/event-stream\r\n", event(1)));
		this.gateway.server(whole("Content-Type: application/json\r\n", "{}\n\n"));
		assertCut(this.gateway.call("/stream/a"), event(1));
	}

	@Test
	void parametersOfTheContentTypeMayDiffer() throws IOException {
		this.gateway.server(breaking("Content-Type: text/event-stream\r\n", event(1)));
		this.gateway.server(whole("Content-Type: Text/Event-Stream; charset=utf-8\r\n", event(2)));
		assertWhole(this.gateway.call("/stream/a"), event(1) + event(2));
	}

	// ---- where a stream goes on

	/**
	 * A stream that goes on after its last id repeats what followed that id. So data
	 * without an id would come twice.
	 */
	@Test
	void afterDataWithoutAnIdAStreamIsNotContinued() throws IOException {
		this.gateway.server(breaking(event(1) + "data: b\n\n"));
		ScriptedServer second = this.gateway.server(whole("data: b\n\n" + event(3)));
		assertCut(this.gateway.call("/stream/a"), event(1) + "data: b\n\n");
		assertThat(second.received()).isEmpty();
	}

	@Test
	void afterACommentAStreamIsContinued() throws IOException {
		this.gateway.server(breaking(event(1) + ": still here\n\n"));
		this.gateway.server(whole(event(2)));
		assertWhole(this.gateway.call("/stream/a"), event(1) + ": still here\n\n" + event(2));
	}

	@Test
	void idsThatGoBackwardsWithinAnAnswerAreTheServers() throws IOException {
		this.gateway.server(whole(event(2) + event(1) + event(1)));
		assertWhole(this.gateway.call("/stream/a"), event(2) + event(1) + event(1));
	}

	@Test
	void aServerThatBeginsAnewIsHeardFromTheCallersPosition() throws IOException {
		this.gateway.server(breaking(event(1) + event(2)));
		this.gateway.server(whole(event(1) + event(2) + event(3)));
		assertWhole(this.gateway.call("/stream/a"), event(1) + event(2) + event(3));
	}

	@Test
	void aServerThatEndsBeforeTheCallersPositionDoesNotMakeTheStreamWhole() throws IOException {
		this.gateway.server(breaking(event(1) + event(2) + event(3)));
		this.gateway.server(whole(event(1) + event(2)));
		assertCut(this.gateway.call("/stream/a"), event(1) + event(2) + event(3));
	}

	@Test
	void aStreamThatBrokeAfterItsLastEventIsEndedByAServerThatHasNoMore() throws IOException {
		this.gateway.server(breaking(event(1)));
		this.gateway.server(whole(""));
		assertWhole(this.gateway.call("/stream/a"), event(1));
	}

	/**
	 * Ids within an answer may go backwards; the caller then has more than the last id
	 * says, and what it has must not come again from another server.
	 */
	@Test
	void aStreamThatBreaksAfterAnIdThatWentBackRepeatsNothing() throws IOException {
		this.gateway.server(breaking(event(1) + event(2) + event(1)));
		this.gateway.server((request, answer) -> {
			int last = Integer.parseInt(request.headers().get("t-last"));
			whole((last == 1) ? event(2) + event(3) : event(3)).answer(request, answer);
		});
		assertThat(GatewayFixture.bodyOf(this.gateway.call("/stream/a"))).containsOnlyOnce(event(2));
	}

	@Test
	void aServerThatBeginsAnewWithIdsThatAreNoNumbersRepeatsNothing() throws IOException {
		this.gateway.server(breaking("id: a\ndata: 1\n\nid: b\ndata: 2\n\n"));
		this.gateway.server(whole("id: a\ndata: 1\n\nid: b\ndata: 2\n\nid: c\ndata: 3\n\n"));
		assertThat(GatewayFixture.bodyOf(this.gateway.call("/stream/a"))).containsOnlyOnce("id: a\n")
			.containsOnlyOnce("id: b\n");
	}

	@Test
	void dataWithoutAnIdAtTheBeginningIsNotRepeatedByAServerThatBeginsAnew() throws IOException {
		String begin = "data: begin\n\n" + event(1);
		this.gateway.server(breaking(begin));
		this.gateway.server(whole(begin + event(2)));
		assertThat(GatewayFixture.bodyOf(this.gateway.call("/stream/a"))).containsOnlyOnce("data: begin");
	}

	@Test
	void aCallerThatHasAllGetsNoEndlessAttempts() throws IOException {
		ScriptedServer first = this.gateway.server(whole(""));
		ScriptedServer second = this.gateway.server(whole(event(1) + event(2)));
		assertThat(this.gateway.call("/stream/a", "t-last: 2")).startsWith("HTTP/1.1 502");
		assertThat(first.received().size() + second.received().size()).isEqualTo(2);
	}

	@Test
	void aStreamOfOneEventThatBreaksAnywhereIsWhole() throws IOException {
		for (int length = 0; length <= event(1).length(); length++) {
			try (GatewayFixture fresh = new GatewayFixture().routed()) {
				fresh.server(breaking(event(1).substring(0, length)));
				fresh.server((request, answer) -> whole(request.headers().containsKey("t-last") ? "" : event(1))
					.answer(request, answer));
				assertWhole(fresh.call("/stream/a"), event(1));
			}
		}
	}

	@Test
	void aSecondAnswerBehindOneWithoutLengthIsNoPartOfTheStream() throws IOException {
		this.gateway.server((request, answer) -> {
			answer.raw(UNFRAMED + event(1));
			answer.until(new CountDownLatch(1), 50);
			answer.raw(UNFRAMED + event(1));
		});
		assertThat(GatewayFixture.bodyOf(this.gateway.call("/frail/a"))).isEqualTo(event(1));
	}

	// ---- the end of a stream

	@Test
	void aStreamThatIsClosedShortOfItsLengthAfterAnEventIsNotWhole() throws IOException {
		this.gateway.server((request, answer) -> answer
			.raw("HTTP/1.1 200 OK\r\n" + SIGNED + "Content-Length: 99\r\n\r\n" + event(1)));
		assertCut(this.gateway.call("/frail/a"), event(1));
	}

	@Test
	void aStreamThatIsClosedBeforeItsLastChunkIsNotWhole() throws IOException {
		this.gateway.server((request, answer) -> {
			answer.raw(chunked(""));
			answer.chunk(event(1));
		});
		assertCut(this.gateway.call("/frail/a"), event(1));
	}

	@Test
	void theLengthOfAnAnswerThatBreaksIsNotThatOfTheStream() throws IOException {
		this.gateway.server((request, answer) -> {
			answer.raw("HTTP/1.1 200 OK\r\n" + SIGNED + "Content-Length: 99\r\n\r\n" + event(1));
			answer.reset();
		});
		this.gateway.server(whole(event(2)));
		String answer = this.gateway.call("/stream/a");
		assertThat(answer).doesNotContainIgnoringCase("content-length");
		assertWhole(answer, event(1) + event(2));
	}

	@Test
	void aStreamWithoutLengthThatIsResetAfterAnEventIsNotWhole() throws IOException {
		this.gateway.server((request, answer) -> {
			answer.raw(UNFRAMED + event(1));
			answer.reset();
		});
		assertThat(this.gateway.call("/frail/a")).doesNotEndWith(LAST_CHUNK);
	}

	@Test
	void aStreamWithoutLengthThatIsClosedAfterAnEventIsWhole() throws IOException {
		this.gateway.server((request, answer) -> answer.raw(UNFRAMED + event(1)));
		assertWhole(this.gateway.call("/frail/a"), event(1));
	}

	@Test
	void aStreamWithoutLengthThatIsClosedWithinAnEventIsNotWhole() throws IOException {
		this.gateway.server((request, answer) -> answer.raw(UNFRAMED + event(1) + "id: 2\n"));
		assertCut(this.gateway.call("/frail/a"), event(1));
	}

	// ---- what is learnt of servers

	/**
	 * The pause of the caller while one server fails and the next one begins says nothing
	 * of the passes of the next one's group.
	 */
	@Test
	void thePauseOfAChangeOfServersIsNotPutDownToTheSecond() throws IOException {
		try (GatewayFixture ranks = new GatewayFixture().routedToRanks()) {
			AtomicInteger attempts = new AtomicInteger();
			ScriptedServer.Script script = (request, answer) -> {
				if (attempts.incrementAndGet() == 1) {
					breaking(event(1)).answer(request, answer);
					return;
				}
				answer.until(new CountDownLatch(1), 200);
				whole(event(2)).answer(request, answer);
			};
			ranks.server(script);
			ranks.server(script);
			ranks.grouped("server-0", "one");
			ranks.grouped("server-1", "other");
			double beforeMillis = ranks.passMillis("server-0");
			assertWhole(ranks.call("/stream/a"), event(1) + event(2));
			assertThat(attempts).hasValue(2);
			assertThat(ranks.passMillis("server-0")).isEqualTo(beforeMillis);
			assertThat(ranks.passMillis("server-1")).isEqualTo(beforeMillis);
		}
	}

}
