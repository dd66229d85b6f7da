package org.snowwind.gateway.request;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests how {@link Relay} handles streams of which an attempt fails, over real sockets.
 * No data of one attempt may reach the response of the next attempt, and a stream that is
 * known to be broken must not look complete to the caller.
 */
class RelayStreamTests {

	private static final String SIGNED = "t-signed: 1\r\nt-id: r1\r\n";

	private static final String UNFRAMED = "HTTP/1.1 200 OK\r\n" + SIGNED + "\r\n";

	private static final String LAST_CHUNK = "0\r\n\r\n";

	private final GatewayFixture gateway = new GatewayFixture().withRoutes();

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

	private static ScriptedServer.Script completeStream(String events) {
		return completeStream("", events);
	}

	private static ScriptedServer.Script completeStream(String headers, String events) {
		return (request, answer) -> {
			answer.write(chunked(headers));
			if (!events.isEmpty()) {
				answer.writeChunk(events);
			}
			answer.write(LAST_CHUNK);
		};
	}

	private static ScriptedServer.Script brokenStream(String events) {
		return brokenStream("", events);
	}

	private static ScriptedServer.Script brokenStream(String headers, String events) {
		return (request, answer) -> {
			answer.write(chunked(headers));
			if (!events.isEmpty()) {
				answer.writeChunk(events);
			}
			answer.reset();
		};
	}

	private static void assertComplete(String answer, String body) {
		assertThat(GatewayFixture.bodyOf(answer)).isEqualTo(body);
		assertThat(answer).endsWith(LAST_CHUNK);
	}

	private static void assertTruncated(String answer, String body) {
		assertThat(GatewayFixture.bodyOf(answer)).isEqualTo(body);
		assertThat(answer).doesNotEndWith(LAST_CHUNK);
	}

	// ---- body of an attempt

	@Test
	void streamIsCompleteWhereverTheFirstAttemptBreaks() throws IOException {
		String body = event(8) + event(9);
		for (int length = 0; length <= body.length(); length += 3) {
			String partial = body.substring(0, length);
			try (GatewayFixture fresh = new GatewayFixture().withRoutes()) {
				fresh.addServer(brokenStream(partial));
				fresh.addServer((request, answer) -> {
					int last = Integer.parseInt(request.headers().get("t-last"));
					String rest = (last == 9) ? "" : body.substring((last - 7) * event(8).length());
					completeStream(rest).handle(request, answer);
				});
				assertComplete(fresh.call("/stream/a", "t-last: 7"), body);
			}
		}
	}

	@Test
	void eventBrokenBetweenCarriageReturnAndLineFeedIsDeliveredOnce() throws IOException {
		this.gateway.addServer(brokenStream("id: 1\r\ndata: a\r\n\r"));
		this.gateway.addServer(completeStream("id: 1\r\ndata: a\r\n\r\n"));
		assertComplete(this.gateway.call("/stream/a"), "id: 1\r\ndata: a\r\n\r\n");
	}

	@Test
	void lateBytesOfASilentAttemptAreNotPartOfTheStreamOnceItsReplacementHasAnswered() throws IOException {
		CountDownLatch secondDelivered = new CountDownLatch(1);
		CountDownLatch lateWriteDone = new CountDownLatch(1);
		this.gateway.addServer((request, answer) -> {
			answer.write(chunked(""));
			answer.writeChunk(event(1) + "id: 2\n");
			answer.await(secondDelivered);
			try {
				answer.writeChunk("data: late\n\n" + event(3));
			}
			finally {
				lateWriteDone.countDown();
			}
		});
		this.gateway.addServer((request, answer) -> {
			assertThat(request.headers()).containsEntry("t-last", "1");
			answer.write(chunked(""));
			answer.writeChunk(event(2));
			answer.await(lateWriteDone);
			answer.write(LAST_CHUNK);
		});
		try (Socket caller = this.gateway.send("/steady/a")) {
			StringBuilder read = new StringBuilder();
			while (read.indexOf(event(2)) < 0) {
				String more = GatewayFixture.readSome(caller);
				assertThat(more).as("the connection goes on after: " + read).isNotEmpty();
				read.append(more);
			}
			secondDelivered.countDown();
			read.append(new String(caller.getInputStream().readAllBytes(), StandardCharsets.UTF_8));
			assertComplete(read.toString(), event(1) + event(2));
		}
	}

	@Test
	void bytesAfterTheEndOfAResponseAreNotPartOfTheStream() throws IOException {
		this.gateway.addServer((request, answer) -> {
			completeStream(event(1)).handle(request, answer);
			completeStream(event(2)).handle(request, answer);
		});
		assertComplete(this.gateway.call("/stream/a"), event(1));
	}

	@Test
	void bodyOfABrokenAttemptIsNotPartOfTheNextResponse() throws IOException {
		this.gateway.addServer(brokenStream("half"));
		this.gateway.addServer((request, answer) -> answer.respond(200, SIGNED, "whole"));
		assertThat(this.gateway.call("/many/a")).startsWith("HTTP/1.1 200").endsWith("\r\n\r\nwhole");
	}

	@Test
	void corruptedEventContentIsNotDetected() throws IOException {
		String corrupted = "id: 1\ndata: te\u0001t 1\n\n";
		this.gateway.addServer(completeStream(corrupted + event(2)));
		assertComplete(this.gateway.call("/stream/a"), corrupted + event(2));
	}

	// ---- head of an attempt

	@Test
	void responseHeadIsFromTheServerOfTheFirstDeliveredEvent() throws IOException {
		this.gateway.addServer(brokenStream("t-by: first\r\n", "id: 1\nda"));
		this.gateway.addServer(completeStream("t-by: second\r\n", event(1)));
		String answer = this.gateway.call("/stream/a");
		assertThat(answer).contains("t-by: second").doesNotContain("t-by: first");
		assertComplete(answer, event(1));
	}

	@Test
	void streamWithoutACompleteEventIsRetried() throws IOException {
		this.gateway.addServer(completeStream(""));
		this.gateway.addServer(completeStream(event(1)));
		assertComplete(this.gateway.call("/stream/a"), event(1));
	}

	@Test
	void errorResponseDoesNotContinueAStream() throws IOException {
		this.gateway.addServer(brokenStream(event(1)));
		this.gateway.addServer((request, answer) -> answer.respond(500, SIGNED, "oops\n\n"));
		assertTruncated(this.gateway.call("/stream/a"), event(1));
	}

	@Test
	void responseOfAnotherMediaTypeDoesNotContinueAStream() throws IOException {
		this.gateway.addServer(brokenStream("Content-Type: text/event-stream\r\n", event(1)));
		this.gateway.addServer(completeStream("Content-Type: application/json\r\n", "{}\n\n"));
		assertTruncated(this.gateway.call("/stream/a"), event(1));
	}

	@Test
	void streamContinuesIfOnlyMediaTypeParametersDiffer() throws IOException {
		this.gateway.addServer(brokenStream("Content-Type: text/event-stream\r\n", event(1)));
		this.gateway.addServer(completeStream("Content-Type: Text/Event-Stream; charset=utf-8\r\n", event(2)));
		assertComplete(this.gateway.call("/stream/a"), event(1) + event(2));
	}

	// ---- position at which a stream continues

	/**
	 * A stream that continues after its last id repeats the data that followed that id,
	 * so the caller would get data without an id twice.
	 */
	@Test
	void streamIsNotContinuedAfterDataWithoutId() throws IOException {
		this.gateway.addServer(brokenStream(event(1) + "data: b\n\n"));
		ScriptedServer second = this.gateway.addServer(completeStream("data: b\n\n" + event(3)));
		assertTruncated(this.gateway.call("/stream/a"), event(1) + "data: b\n\n");
		assertThat(second.received()).isEmpty();
	}

	@Test
	void streamIsContinuedAfterAComment() throws IOException {
		this.gateway.addServer(brokenStream(event(1) + ": still here\n\n"));
		this.gateway.addServer(completeStream(event(2)));
		assertComplete(this.gateway.call("/stream/a"), event(1) + ": still here\n\n" + event(2));
	}

	@Test
	void decreasingIdsWithinOneResponseAreNotFiltered() throws IOException {
		this.gateway.addServer(completeStream(event(2) + event(1) + event(1)));
		assertComplete(this.gateway.call("/stream/a"), event(2) + event(1) + event(1));
	}

	@Test
	void restartedStreamIsDeliveredFromTheCallersPosition() throws IOException {
		this.gateway.addServer(brokenStream(event(1) + event(2)));
		this.gateway.addServer(completeStream(event(1) + event(2) + event(3)));
		assertComplete(this.gateway.call("/stream/a"), event(1) + event(2) + event(3));
	}

	@Test
	void streamThatEndsBeforeTheCallersPositionIsNotComplete() throws IOException {
		this.gateway.addServer(brokenStream(event(1) + event(2) + event(3)));
		this.gateway.addServer(completeStream(event(1) + event(2)));
		assertTruncated(this.gateway.call("/stream/a"), event(1) + event(2) + event(3));
	}

	@Test
	void streamBrokenAfterItsLastEventIsCompletedByAnEmptyContinuation() throws IOException {
		this.gateway.addServer(brokenStream(event(1)));
		this.gateway.addServer(completeStream(""));
		assertComplete(this.gateway.call("/stream/a"), event(1));
	}

	/**
	 * Ids within a response may decrease. The caller then has more data than the last id
	 * covers, and another server must not send that data again.
	 */
	@Test
	void streamBrokenAfterADecreasingIdRepeatsNoEvent() throws IOException {
		this.gateway.addServer(brokenStream(event(1) + event(2) + event(1)));
		this.gateway.addServer((request, answer) -> {
			int last = Integer.parseInt(request.headers().get("t-last"));
			completeStream((last == 1) ? event(2) + event(3) : event(3)).handle(request, answer);
		});
		assertThat(GatewayFixture.bodyOf(this.gateway.call("/stream/a"))).containsOnlyOnce(event(2));
	}

	@Test
	void restartedStreamWithNonNumericIdsRepeatsNoEvent() throws IOException {
		this.gateway.addServer(brokenStream("id: a\ndata: 1\n\nid: b\ndata: 2\n\n"));
		this.gateway.addServer(completeStream("id: a\ndata: 1\n\nid: b\ndata: 2\n\nid: c\ndata: 3\n\n"));
		assertThat(GatewayFixture.bodyOf(this.gateway.call("/stream/a"))).containsOnlyOnce("id: a\n")
			.containsOnlyOnce("id: b\n");
	}

	@Test
	void restartedStreamDoesNotRepeatLeadingDataWithoutId() throws IOException {
		String beginning = "data: begin\n\n" + event(1);
		this.gateway.addServer(brokenStream(beginning));
		this.gateway.addServer(completeStream(beginning + event(2)));
		assertThat(GatewayFixture.bodyOf(this.gateway.call("/stream/a"))).containsOnlyOnce("data: begin");
	}

	@Test
	void callerThatHasAllEventsCausesNoEndlessRetries() throws IOException {
		ScriptedServer first = this.gateway.addServer(completeStream(""));
		ScriptedServer second = this.gateway.addServer(completeStream(event(1) + event(2)));
		assertThat(this.gateway.call("/stream/a", "t-last: 2")).startsWith("HTTP/1.1 502");
		assertThat(first.received().size() + second.received().size()).isEqualTo(2);
	}

	@Test
	void singleEventStreamIsCompleteWhereverTheFirstAttemptBreaks() throws IOException {
		for (int length = 0; length <= event(1).length(); length++) {
			try (GatewayFixture fresh = new GatewayFixture().withRoutes()) {
				fresh.addServer(brokenStream(event(1).substring(0, length)));
				fresh.addServer(
						(request, answer) -> completeStream(request.headers().containsKey("t-last") ? "" : event(1))
							.handle(request, answer));
				assertComplete(fresh.call("/stream/a"), event(1));
			}
		}
	}

	@Test
	void secondResponseAfterAnUnframedOneIsNotPartOfTheStream() throws IOException {
		this.gateway.addServer((request, answer) -> {
			answer.write(UNFRAMED + event(1));
			answer.await(new CountDownLatch(1), 50);
			answer.write(UNFRAMED + event(1));
		});
		assertThat(GatewayFixture.bodyOf(this.gateway.call("/frail/a"))).isEqualTo(event(1));
	}

	// ---- end of a stream

	@Test
	void streamShorterThanItsContentLengthIsNotComplete() throws IOException {
		this.gateway.addServer((request, answer) -> answer
			.write("HTTP/1.1 200 OK\r\n" + SIGNED + "Content-Length: 99\r\n\r\n" + event(1)));
		assertTruncated(this.gateway.call("/frail/a"), event(1));
	}

	@Test
	void streamClosedBeforeItsLastChunkIsNotComplete() throws IOException {
		this.gateway.addServer((request, answer) -> {
			answer.write(chunked(""));
			answer.writeChunk(event(1));
		});
		assertTruncated(this.gateway.call("/frail/a"), event(1));
	}

	@Test
	void contentLengthOfABrokenAttemptIsNotPassedOn() throws IOException {
		this.gateway.addServer((request, answer) -> {
			answer.write("HTTP/1.1 200 OK\r\n" + SIGNED + "Content-Length: 99\r\n\r\n" + event(1));
			answer.reset();
		});
		this.gateway.addServer(completeStream(event(2)));
		String answer = this.gateway.call("/stream/a");
		assertThat(answer).doesNotContainIgnoringCase("content-length");
		assertComplete(answer, event(1) + event(2));
	}

	@Test
	void unframedStreamResetAfterAnEventIsNotComplete() throws IOException {
		this.gateway.addServer((request, answer) -> {
			answer.write(UNFRAMED + event(1));
			answer.reset();
		});
		assertThat(this.gateway.call("/frail/a")).doesNotEndWith(LAST_CHUNK);
	}

	@Test
	void unframedStreamClosedAfterAnEventIsComplete() throws IOException {
		this.gateway.addServer((request, answer) -> answer.write(UNFRAMED + event(1)));
		assertComplete(this.gateway.call("/frail/a"), event(1));
	}

	@Test
	void unframedStreamClosedWithinAnEventIsNotComplete() throws IOException {
		this.gateway.addServer((request, answer) -> answer.write(UNFRAMED + event(1) + "id: 2\n"));
		assertTruncated(this.gateway.call("/frail/a"), event(1));
	}

	@Test
	void unframedStreamClosedWithinAnEventIsContinuedByAnotherServer() throws IOException {
		this.gateway.addServer((request, answer) -> answer.write(UNFRAMED + event(1) + "id: 2\ndata: t"));
		this.gateway.addServer((request, answer) -> {
			assertThat(request.headers()).containsEntry("t-last", "1");
			answer.write(UNFRAMED + event(2));
		});
		assertComplete(this.gateway.call("/stream/a"), event(1) + event(2));
	}

	/**
	 * What was read before reading stopped still arrives in pieces, and the last piece
	 * may hold no whole event.
	 */
	@Test
	void serverThatIsNotReadDoesNotCountAsSilent() throws IOException, InterruptedException {
		String event = "data: " + "x".repeat(2000) + "\n\n";
		this.gateway.addServer((request, answer) -> {
			answer.write(chunked(""));
			for (int i = 0; i < 8000; i++) {
				answer.writeChunk(event);
			}
			answer.write(LAST_CHUNK);
		});
		try (Socket slow = this.gateway.sendWithSmallBuffer("/patient/a")) {
			Thread.sleep(2500);
			String answer = new String(slow.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
			assertThat(answer).endsWith(LAST_CHUNK);
			assertComplete(answer, event.repeat(8000));
		}
	}

	// ---- measurements of servers

	/**
	 * The pause that the caller sees between the failure of one server and the first
	 * event of the next one must not count as a pass of the next server's group.
	 */
	@Test
	void pauseBetweenAttemptsIsNotAttributedToTheSecondServer() throws IOException {
		try (GatewayFixture ranks = new GatewayFixture().withRoutesToRanks()) {
			AtomicInteger attempts = new AtomicInteger();
			ScriptedServer.Script script = (request, answer) -> {
				if (attempts.incrementAndGet() == 1) {
					brokenStream(event(1)).handle(request, answer);
					return;
				}
				answer.await(new CountDownLatch(1), 200);
				completeStream(event(2)).handle(request, answer);
			};
			ranks.addServer(script);
			ranks.addServer(script);
			ranks.addToGroup("server-0", "one");
			ranks.addToGroup("server-1", "other");
			double beforeMillis = ranks.passMillis("server-0");
			assertComplete(ranks.call("/stream/a"), event(1) + event(2));
			assertThat(attempts).hasValue(2);
			assertThat(ranks.passMillis("server-0")).isEqualTo(beforeMillis);
			assertThat(ranks.passMillis("server-1")).isEqualTo(beforeMillis);
		}
	}

}
