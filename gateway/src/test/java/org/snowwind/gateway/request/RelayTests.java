package org.snowwind.gateway.request;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link Relay}, {@link Attempt} and {@link GatewayHandler} over real sockets.
 */
class RelayTests {

	private static final String SIGNED = "t-signed: 1\r\nt-id: r1\r\n";

	/** Longer than the silence after which another server is looked for. */
	private static final long LONG_SILENCE_MILLIS = 1200;

	private static final String CHUNKED = "HTTP/1.1 200 OK\r\n" + SIGNED + "Transfer-Encoding: chunked\r\n\r\n";

	private final GatewayFixture gateway = new GatewayFixture().withRoutes();

	@AfterEach
	void close() {
		this.gateway.close();
	}

	private static ScriptedServer.Script ok(String body) {
		return (request, answer) -> answer.respond(200, SIGNED, body);
	}

	private static ScriptedServer.Script rejecting() {
		return (request, answer) -> answer.respond(503, "t-not-run: 1\r\n", "");
	}

	private static ScriptedServer.Script resetting() {
		return (request, answer) -> answer.reset();
	}

	// ---- complete responses

	@Test
	void completeResponseIsPassedOnWithItsSignature() throws IOException {
		ScriptedServer server = this.gateway.addServer(ok("hello"));
		String answer = this.gateway.call("/once/a?b=c", "t-patience: 1000");
		assertThat(answer).startsWith("HTTP/1.1 200").contains("t-signed: 1").endsWith("hello");
		ScriptedServer.ReceivedRequest received = server.received().get(0);
		assertThat(received.line()).isEqualTo("POST /once/a?b=c HTTP/1.1");
		assertThat(received.body()).isEqualTo("body");
		assertThat(received.headers()).containsEntry("t-id", "r1")
			.containsEntry("host", "gateway.test")
			.containsEntry("t-server", "server-0")
			.containsEntry("t-organisation", "org")
			.doesNotContainKey("t-key");
		assertThat(Long.parseLong(received.headers().get("t-patience"))).isBetween(1L, 1000L);
	}

	@Test
	void callerCannotSetItsOrganisation() throws IOException {
		ScriptedServer server = this.gateway.addServer(ok("x"));
		this.gateway.call("/once/a", "t-organisation: other");
		assertThat(server.received().get(0).headers()).containsEntry("t-organisation", "org");
	}

	@Test
	void unsignedSuccessIsNotPassedOn() throws IOException {
		this.gateway.addServer((request, answer) -> answer.respond(200, "t-id: r1\r\n", "false"));
		assertThat(this.gateway.call("/once/a")).startsWith("HTTP/1.1 502").doesNotContain("false");
	}

	@Test
	void responseToAnotherRequestIsNotPassedOn() throws IOException {
		this.gateway.addServer((request, answer) -> answer.respond(200, "t-signed: 1\r\nt-id: r2\r\n", "others"));
		assertThat(this.gateway.call("/once/a")).startsWith("HTTP/1.1 502").doesNotContain("others");
	}

	@Test
	void bytesAfterAResponseAreNotPassedOn() throws IOException {
		this.gateway.addServer((request, answer) -> {
			answer.respond(200, SIGNED, "first");
			answer.respond(200, SIGNED, "second");
		});
		assertThat(this.gateway.call("/once/a")).endsWith("first");
		assertThat(this.gateway.call("/once/a")).endsWith("first");
	}

	@Test
	void malformedResponseIsNotPassedOn() throws IOException {
		this.gateway.addServer((request, answer) -> answer.write("rubbish\r\n\r\n"));
		assertThat(this.gateway.call("/once/a")).startsWith("HTTP/1.1 502");
	}

	@Test
	void unframedResponseThatEndsWithItsConnectionIsComplete() throws IOException {
		this.gateway.addServer((request, answer) -> answer.write("HTTP/1.1 200 OK\r\n" + SIGNED + "\r\nunframed"));
		assertThat(this.gateway.call("/once/a")).startsWith("HTTP/1.1 200")
			.contains("content-length: 8")
			.endsWith("unframed");
	}

	@Test
	void unframedResponseThatIsResetIsNotComplete() throws IOException {
		this.gateway.addServer((request, answer) -> {
			answer.write("HTTP/1.1 200 OK\r\n" + SIGNED + "\r\nunfra");
			answer.reset();
		});
		assertThat(this.gateway.call("/once/a")).startsWith("HTTP/1.1 502");
	}

	@Test
	void truncatedResponseIsNotPassedOn() throws IOException {
		this.gateway.addServer(
				(request, answer) -> answer.write("HTTP/1.1 200 OK\r\n" + SIGNED + "Content-Length: 9\r\n\r\ncut"));
		this.gateway.addServer(ok("whole"));
		assertThat(this.gateway.call("/many/a")).startsWith("HTTP/1.1 200").endsWith("whole");
	}

	// ---- at most once

	@Test
	void lostAtMostOnceRequestIsNotSentAgain() throws IOException {
		this.gateway.addServer(resetting());
		ScriptedServer second = this.gateway.addServer(ok("x"));
		assertThat(this.gateway.call("/once/a")).startsWith("HTTP/1.1 502").contains("unknown");
		assertThat(second.received()).isEmpty();
	}

	@Test
	void rejectedRequestIsSentAgainOnProofThatItDidNotRun() throws IOException {
		this.gateway.addServer(rejecting());
		ScriptedServer second = this.gateway.addServer(ok("x"));
		assertThat(this.gateway.call("/once/a")).startsWith("HTTP/1.1 200");
		assertThat(second.received()).hasSize(1);
	}

	@Test
	void responseOfAnotherIncarnationProvesThatTheRequestDidNotRun() throws IOException {
		ScriptedServer other = this.gateway.addServer((request, answer) -> answer.respond(421, "", ""));
		this.gateway.addServer(ok("x"));
		assertThat(this.gateway.call("/once/a")).startsWith("HTTP/1.1 200");
		assertThat(this.gateway.call("/once/a")).startsWith("HTTP/1.1 200");
		assertThat(other.received()).as("it is sent no further requests").hasSize(1);
	}

	@Test
	void requestToAnUnreachableServerIsSentAgain() throws IOException {
		this.gateway.addUnreachableServer();
		this.gateway.addServer(ok("x"));
		assertThat(this.gateway.call("/once/a")).startsWith("HTTP/1.1 200");
	}

	@Test
	void rejectionByAllServersIsReportedAsNotRunWithRetryAfter() throws IOException {
		this.gateway.addServer(rejecting());
		assertThat(this.gateway.call("/once/a")).startsWith("HTTP/1.1 503")
			.containsIgnoringCase("retry-after: 0.")
			.contains("not-run");
	}

	@Test
	void retryToAClosedGroupIsRejectedAtOnce() throws IOException {
		try (GatewayFixture ranks = new GatewayFixture().withRoutesToRanks()) {
			ScriptedServer server = ranks.addServer(ok("x"));
			ranks.closeGroup();
			assertThat(ranks.call("/once/a", "t-patience: 1300")).startsWith("HTTP/1.1 503")
				.containsIgnoringCase("retry-after: 0.")
				.contains("not-run");
			assertThat(server.received()).isEmpty();
		}
	}

	@Test
	void firstRequestToAClosedGroupIsRejectedAtOnce() throws IOException {
		try (GatewayFixture ranks = new GatewayFixture().withRoutesToRanks()) {
			ScriptedServer server = ranks.addServer(ok("x"));
			ranks.closeGroup();
			assertThat(ranks.call("/once/a", "t-patience: 1500")).startsWith("HTTP/1.1 503")
				.containsIgnoringCase("retry-after: 0.");
			assertThat(server.received()).isEmpty();
		}
	}

	@Test
	void rejectionWithoutProofIsNotReportedAsNotRun() throws IOException {
		this.gateway.addServer((request, answer) -> answer.respond(503, SIGNED, "busy"));
		assertThat(this.gateway.call("/once/a")).startsWith("HTTP/1.1 502");
	}

	@Test
	void failureOfAnAtMostOnceRequestIsPassedOn() throws IOException {
		this.gateway.addServer((request, answer) -> answer.respond(500, SIGNED, "oops"));
		ScriptedServer second = this.gateway.addServer(ok("x"));
		assertThat(this.gateway.call("/once/a")).startsWith("HTTP/1.1 500").endsWith("oops");
		assertThat(second.received()).isEmpty();
	}

	// ---- repeatable requests

	@Test
	void repeatableRequestIsSentToAnotherServerAfterAFailure() throws IOException {
		this.gateway.addServer((request, answer) -> answer.respond(500, SIGNED, "oops"));
		this.gateway.addServer(ok("fine"));
		assertThat(this.gateway.call("/many/a")).startsWith("HTTP/1.1 200").endsWith("fine");
	}

	@Test
	void repeatedFailureIsPassedOnUnchanged() throws IOException {
		this.gateway.addServer((request, answer) -> answer.respond(500, SIGNED, "oops"));
		assertThat(this.gateway.call("/many/a")).startsWith("HTTP/1.1 500").contains("t-signed").endsWith("oops");
	}

	/**
	 * Guards against a 503, which promises that the request has not run, for a request
	 * that a server had begun before it ended. This happens if the servers that are tried
	 * afterwards all reject the request and only the last attempt determines the
	 * response.
	 */
	@Test
	void requestThatMayHaveRunIsNotReportedAsNotRunAfterLaterRejections() throws IOException {
		this.gateway.addServer(resetting());
		for (int i = 0; i < 4; i++) {
			this.gateway.addServer(rejecting());
		}
		assertThat(this.gateway.call("/many/a")).startsWith("HTTP/1.1 502").contains("unknown");
	}

	@Test
	void requestIsNotRunMoreOftenThanItsRouteAllows() throws IOException {
		ScriptedServer first = this.gateway.addServer(resetting());
		ScriptedServer second = this.gateway.addServer(resetting());
		ScriptedServer third = this.gateway.addServer(ok("x"));
		assertThat(this.gateway.call("/many/a")).startsWith("HTTP/1.1 502");
		assertThat(first.received().size() + second.received().size()).isEqualTo(2);
		assertThat(third.received()).isEmpty();
	}

	// ---- streams

	/**
	 * Guards against a signed 200 whose first event contains bytes of another server.
	 * This happens if the first server breaks within its first event and the held bytes
	 * of that event are kept: no event was delivered, so the request is sent again from
	 * the start, and the held bytes precede the second server's first event. Bytes of
	 * several broken attempts add up. Event SW-4107 logs how many bytes an attempt held.
	 */
	@Test
	void partialFirstEventIsDroppedWhenTheRequestIsSentAgain() throws IOException {
		this.gateway.addServer((request, answer) -> {
			answer.write(CHUNKED);
			answer.writeChunk("id: 8\nda");
			answer.reset();
		});
		ScriptedServer second = this.gateway.addServer((request, answer) -> {
			answer.write(CHUNKED);
			answer.writeChunk("id: 8\ndata: h\n\n");
			answer.write("0\r\n\r\n");
		});
		String answer = this.gateway.call("/stream/a", "t-last: 7");
		assertThat(second.received().get(0).headers()).containsEntry("t-last", "7");
		assertThat(GatewayFixture.bodyOf(answer)).isEqualTo("id: 8\ndata: h\n\n");
		assertThat(answer).endsWith("0\r\n\r\n");
	}

	@Test
	void streamBrokenWithinAnEventContinuesOnAnotherServer() throws IOException {
		this.gateway.addServer((request, answer) -> {
			answer.write(CHUNKED);
			answer.writeChunk("id: 1\ndata: a\n\nid: 2\nda");
			answer.reset();
		});
		ScriptedServer second = this.gateway.addServer((request, answer) -> {
			answer.write(CHUNKED);
			answer.writeChunk("id: 2\ndata: b\n\n");
			answer.writeChunk("id: 3\ndata: c\n\n");
			answer.write("0\r\n\r\n");
		});
		String answer = this.gateway.call("/stream/a");
		assertThat(answer.replaceAll("\r\n[0-9a-f]+\r\n", ""))
			.contains("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c");
		assertThat(answer).endsWith("0\r\n\r\n");
		assertThat(second.received().get(0).headers()).containsEntry("t-last", "1");
	}

	@Test
	void brokenStreamThatIsNotResumableIsAborted() throws IOException {
		this.gateway.addServer((request, answer) -> {
			answer.write(CHUNKED);
			answer.writeChunk("id: 1\ndata: a\n\n");
			answer.reset();
		});
		ScriptedServer second = this.gateway.addServer(ok("x"));
		assertThat(this.gateway.call("/frail/a")).contains("data: a").doesNotEndWith("0\r\n\r\n");
		assertThat(second.received()).isEmpty();
	}

	@Test
	void streamThatEndsWithinAnEventIsNotComplete() throws IOException {
		this.gateway.addServer((request, answer) -> {
			answer.write(CHUNKED);
			answer.writeChunk("id: 1\ndata: a\n\nid: 2\nda");
			answer.write("0\r\n\r\n");
		});
		assertThat(this.gateway.call("/frail/a")).doesNotEndWith("0\r\n\r\n").doesNotContain("id: 2");
	}

	@Test
	void stalledStreamContinuesOnAnotherServer() throws IOException {
		CountDownLatch over = new CountDownLatch(1);
		this.gateway.addServer((request, answer) -> {
			answer.write(CHUNKED);
			answer.writeChunk("id: 1\ndata: a\n\n");
			answer.await(over);
		});
		this.gateway.addServer((request, answer) -> {
			answer.write(CHUNKED);
			answer.writeChunk("id: 2\ndata: b\n\n");
			answer.write("0\r\n\r\n");
		});
		assertThat(this.gateway.call("/stream/a")).contains("data: b").endsWith("0\r\n\r\n");
		over.countDown();
	}

	// ---- deadlines and callers

	@Test
	void requestIsAnsweredAtItsRoutesTimeout() throws IOException {
		CountDownLatch over = new CountDownLatch(1);
		this.gateway.addServer((request, answer) -> answer.await(over));
		long startNanos = System.nanoTime();
		assertThat(this.gateway.call("/once/a", "t-patience: 60000")).startsWith("HTTP/1.1 504");
		long tookMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
		assertThat(tookMillis).isGreaterThanOrEqualTo(GatewayFixture.TIMEOUT_MILLIS - 100);
		over.countDown();
	}

	@Test
	void timeDuringVmSuspensionCountsTowardsTheDeadline() throws Exception {
		CountDownLatch arrived = new CountDownLatch(1);
		CountDownLatch over = new CountDownLatch(1);
		this.gateway.addServer((request, answer) -> {
			arrived.countDown();
			answer.await(over);
		});
		try (Socket caller = this.gateway.send("/patient/a", "t-patience: 60000")) {
			assertThat(arrived.await(5, TimeUnit.SECONDS)).isTrue();
			this.gateway.suspend(60_000);
			assertThat(GatewayFixture.readSome(caller)).startsWith("HTTP/1.1 504");
		}
		over.countDown();
	}

	@Test
	void remainingTimeSentToAServerExcludesVmSuspension() throws Exception {
		CountDownLatch arrived = new CountDownLatch(1);
		CountDownLatch over = new CountDownLatch(1);
		this.gateway.addServer((request, answer) -> {
			arrived.countDown();
			answer.await(over);
			answer.reset();
		});
		ScriptedServer second = this.gateway.addServer(ok("x"));
		try (Socket caller = this.gateway.send("/patient/a", "t-patience: 60000")) {
			assertThat(arrived.await(5, TimeUnit.SECONDS)).isTrue();
			this.gateway.suspend(50_000);
			over.countDown();
			GatewayFixture.readSome(caller);
		}
		assertThat(Long.parseLong(second.received().get(0).headers().get("t-patience"))).isLessThanOrEqualTo(10_000);
	}

	@Test
	void stalledServerIsNotAbortedOnTheLastAttempt() throws IOException {
		this.gateway.addServer((request, answer) -> {
			answer.await(new CountDownLatch(1), LONG_SILENCE_MILLIS);
			answer.write(CHUNKED);
			answer.writeChunk("id: 1\ndata: late\n\n");
			answer.write("0\r\n\r\n");
		});
		assertThat(this.gateway.call("/single/a")).contains("data: late").endsWith("0\r\n\r\n");
	}

	@Test
	void callerDisconnectCancelsTheAttempt() throws Exception {
		CompletableFuture<Boolean> closed = new CompletableFuture<>();
		CountDownLatch arrived = new CountDownLatch(1);
		this.gateway.addServer((request, answer) -> {
			arrived.countDown();
			closed.complete(closedByGateway(answer));
		});
		Socket caller = this.gateway.send("/once/a", "t-patience: 60000");
		assertThat(arrived.await(5, TimeUnit.SECONDS)).isTrue();
		caller.close();
		assertThat(closed.get(1, TimeUnit.SECONDS)).isTrue();
		assertThat(this.gateway.openRequests()).isZero();
	}

	@Test
	void requestIsNotSentIfItsCallerDisconnectsWhileItWaits() throws Exception {
		try (GatewayFixture ranks = new GatewayFixture().withRoutesToRanks()) {
			ScriptedServer server = ranks.addServer(ok("x"));
			ranks.setPeerLoad(8);
			Socket caller = ranks.send("/patient/a");
			awaitOpenRequests(ranks, 1);
			caller.close();
			awaitOpenRequests(ranks, 0);
			ranks.setPeerLoad(0);
			assertThat(ranks.call("/once/b")).startsWith("HTTP/1.1 200");
			assertThat(server.received()).as("only the second caller's request").hasSize(1);
		}
	}

	/**
	 * Guards against a response that says that the request may have run although its only
	 * attempt was rejected and it only waits for another server.
	 */
	@Test
	void rejectedRequestThatWaitsForAServerIsReportedAsNotRun() throws Exception {
		try (GatewayFixture ranks = new GatewayFixture().withRoutesToRanks()) {
			CountDownLatch refused = new CountDownLatch(1);
			ranks.addServer((request, answer) -> {
				ranks.setPeerLoad(8);
				answer.respond(503, "t-not-run: 1\r\n", "");
				refused.countDown();
			});
			try (Socket caller = ranks.send("/patient/a")) {
				assertThat(refused.await(5, TimeUnit.SECONDS)).isTrue();
				TimeUnit.MILLISECONDS.sleep(200);
				ranks.drain();
				ranks.endAll();
				assertThat(GatewayFixture.readSome(caller)).startsWith("HTTP/1.1 503").contains("not-run");
			}
		}
	}

	@Test
	void requestIsNotRetriedAfterItsCallerDisconnects() throws Exception {
		CountDownLatch arrived = new CountDownLatch(1);
		CompletableFuture<Boolean> closed = new CompletableFuture<>();
		this.gateway.addServer((request, answer) -> {
			arrived.countDown();
			closed.complete(closedByGateway(answer));
		});
		ScriptedServer second = this.gateway.addServer(ok("x"));
		Socket caller = this.gateway.send("/many/a");
		assertThat(arrived.await(5, TimeUnit.SECONDS)).isTrue();
		caller.close();
		assertThat(closed.get(1, TimeUnit.SECONDS)).isTrue();
		awaitOpenRequests(this.gateway, 0);
		assertThat(second.received()).isEmpty();
	}

	private static void awaitOpenRequests(GatewayFixture gateway, int expected) throws InterruptedException {
		for (int poll = 0; poll < 500 && gateway.openRequests() != expected; poll++) {
			TimeUnit.MILLISECONDS.sleep(10);
		}
		assertThat(gateway.openRequests()).isEqualTo(expected);
	}

	private static boolean closedByGateway(ScriptedServer.ResponseWriter answer) throws IOException {
		try {
			return answer.awaitClosed();
		}
		catch (SocketException ex) {
			return true;
		}
	}

	@Test
	void unknownKeyAndUnknownPathAreRejected() throws IOException {
		ScriptedServer server = this.gateway.addServer(ok("x"));
		assertThat(this.gateway.call("/once/a", "t-key: wrong")).startsWith("HTTP/1.1 401");
		assertThat(this.gateway.call("/nowhere/a")).startsWith("HTTP/1.1 404");
		assertThat(server.received()).isEmpty();
	}

	@Test
	void organisationWithoutAKeyDoesNotOpenAccess() throws IOException {
		try (GatewayFixture fresh = new GatewayFixture().withoutKeys()) {
			ScriptedServer server = fresh.addServer(ok("x"));
			assertThat(fresh.call("/once/a")).startsWith("HTTP/1.1 401");
			assertThat(fresh.call("/once/a", "t-key: wrong")).startsWith("HTTP/1.1 401");
			assertThat(server.received()).isEmpty();
		}
	}

	@Test
	void requestBeforeAnyConfigurationIsRejectedWithRetryAfter() throws IOException {
		try (GatewayFixture fresh = new GatewayFixture()) {
			assertThat(fresh.call("/once/a")).startsWith("HTTP/1.1 503").containsIgnoringCase("retry-after");
		}
	}

	@Test
	void drainingGatewayClosesEachConnectionAfterItsResponse() throws IOException {
		this.gateway.addServer(ok("x"));
		this.gateway.drain();
		assertThat(this.gateway.call("/once/a")).containsIgnoringCase("connection: close").endsWith("x");
	}

}
