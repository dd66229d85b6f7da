package org.snowwind.gateway.request;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for servers that send only the first bytes of a response head, over real sockets.
 * The caller gets the whole response of another server, an error, or a response that is
 * visibly broken off, but never a short one that looks whole.
 */
class CutResponseHeadTests {

	private static final String SIGNED = "t-signed: 1\r\nt-id: r1\r\n";

	private static final String BODY = "twenty-three bytes long";

	/** The beginning of a response that says that the request failed or took too long. */
	private static final String ERROR = "HTTP/1.1 50";

	private static final String LAST_CHUNK = "0\r\n\r\n";

	private static final String UNFRAMED_HEAD = "HTTP/1.1 200 OK\r\n" + SIGNED + "\r\n";

	private static final String INTERIM = "HTTP/1.1 100 X\r\n\r\nHTTP/1.1 103 X\r\nA: b\r\n\r\n";

	private static final String CHUNKED_HEAD = "HTTP/1.1 200 OK\r\n" + SIGNED + "Transfer-Encoding: chunked\r\n\r\n";

	private static final String WITH_LENGTH = "HTTP/1.1 200 OK\r\n" + SIGNED + "Content-Length: 23\r\n\r\n" + BODY;

	private static final String WITH_TRAILER = "HTTP/1.1 200 OK\r\n" + SIGNED
			+ "Transfer-Encoding: chunked\r\n\r\n17\r\n" + BODY + "\r\n0\r\nSum: 1\r\n\r\n";

	private static final String AFTER_INTERIM = INTERIM
			+ "HTTP/1.1 200 OK\r\nContent-Length: 23\r\nt-id:\r\n r1\r\nt-signed: 1\r\n\r\n" + BODY;

	/** Not valid, so that no part of it is accepted. */
	private static final String BARE_LINE_FEEDS = "HTTP/1.1 200 OK\nt-signed: 1\nt-id: r1\nContent-Length: 23\n\n"
			+ BODY;

	/** Heads of responses that last until their connection is closed. */
	private static final List<String> UNFRAMED_HEADS = List.of(UNFRAMED_HEAD, INTERIM + UNFRAMED_HEAD,
			"HTTP/1.0 200 OK\r\n" + SIGNED + "\r\n");

	/** Longer than any window of retries and any ejection, in milliseconds. */
	private static final long RECOVERY_MILLIS = 20_000;

	private static final int CALLS_AT_ONCE = 40;

	private static final int MAX_CALLS = 50;

	private static String event(int id) {
		return "id: " + id + "\ndata: text " + id + "\n\n";
	}

	private static void writeWhole(ScriptedServer.ResponseWriter answer) throws IOException {
		answer.respond(200, SIGNED, "whole");
	}

	private static void writeStream(ScriptedServer.ResponseWriter answer, String events) throws IOException {
		answer.write(CHUNKED_HEAD);
		answer.writeChunk(events);
		answer.write(LAST_CHUNK);
	}

	/** Returns after how many bytes the response to a request is cut. */
	private static int cutOf(ScriptedServer.ReceivedRequest request) {
		String target = request.line().split(" ")[1];
		return Integer.parseInt(target.substring(target.lastIndexOf('/') + 1));
	}

	private static ScriptedServer.Script cutResponse(String response, CutEnd end) {
		return (request, answer) -> {
			answer.write(response.substring(0, cutOf(request)));
			end.apply(answer);
		};
	}

	/** Cuts the first response to each target and sends a whole one to its repetition. */
	private static ScriptedServer.Script cutFirst(String response, CutEnd end, ScriptedServer.Script repeated) {
		Set<String> cut = ConcurrentHashMap.newKeySet();
		ScriptedServer.Script cutting = cutResponse(response, end);
		return (request, answer) -> (cut.add(request.line()) ? cutting : repeated).handle(request, answer);
	}

	private static void assertWhole(String answer, String cutResponse) {
		assertThat(answer).as(cutResponse)
			.startsWith("HTTP/1.1 200")
			.containsIgnoringCase("content-length: 5\r\n")
			.endsWith("\r\n\r\nwhole");
	}

	private static void assertWholeStream(String answer, String events, String cutResponse) {
		assertThat(answer).as(cutResponse).startsWith("HTTP/1.1 200").endsWith(LAST_CHUNK);
		assertThat(GatewayFixture.bodyOf(answer)).as(cutResponse).isEqualTo(events);
	}

	private static void assertTruncatedStream(String answer, String events, String cutResponse) {
		assertThat(answer).as(cutResponse).startsWith("HTTP/1.1 200").doesNotEndWith(LAST_CHUNK);
		assertThat(GatewayFixture.bodyOf(answer)).as(cutResponse).isEqualTo(events);
	}

	/**
	 * Sends a request for each cut, after the servers have recovered from the last, and
	 * again if it did not reach the server that cuts.
	 */
	private static List<String> callEach(GatewayFixture gateway, String path, int until, ScriptedServer cutting)
			throws IOException {
		List<String> answers = new ArrayList<>();
		for (int length = 0; length < until; length++) {
			String answer = null;
			int receivedBefore = cutting.received().size();
			for (int i = 0; i < MAX_CALLS && cutting.received().size() == receivedBefore; i++) {
				answer = gateway.call(path + length);
				gateway.advanceClock(RECOVERY_MILLIS);
			}
			assertThat(cutting.received()).hasSizeGreaterThan(receivedBefore);
			answers.add(answer);
		}
		return answers;
	}

	// ---- plain requests

	private static void assertRepeatedWhole(String response, int until, CutEnd end) throws IOException {
		try (GatewayFixture gateway = new GatewayFixture().withRoutes()) {
			ScriptedServer cutting = gateway.addServer(cutResponse(response, end));
			gateway.addServer((request, answer) -> writeWhole(answer));
			List<String> answers = callEach(gateway, "/many/", until, cutting);
			for (int length = 0; length < until; length++) {
				assertWhole(answers.get(length), response.substring(0, length));
			}
		}
	}

	@Test
	void responseCutAtAnyByteAndClosedIsRepeatedWhole() throws IOException {
		for (String response : List.of(WITH_LENGTH, WITH_TRAILER, AFTER_INTERIM, BARE_LINE_FEEDS)) {
			assertRepeatedWhole(response, response.length(), CutEnd.CLOSE);
		}
	}

	@Test
	void responseCutAtAnyByteAndResetIsRepeatedWhole() throws IOException {
		assertRepeatedWhole(WITH_TRAILER, WITH_TRAILER.length(), CutEnd.RESET);
	}

	@Test
	void unframedResponseCutWithinItsHeadIsRepeatedWhole() throws IOException {
		for (String head : UNFRAMED_HEADS) {
			assertRepeatedWhole(head + BODY, head.length(), CutEnd.CLOSE);
		}
		assertRepeatedWhole(UNFRAMED_HEAD + BODY, UNFRAMED_HEAD.length() + BODY.length(), CutEnd.RESET);
	}

	/** A server that stops after its head looks the same as one that has no content. */
	@Test
	void unframedResponseClosedAfterItsHeadIsRepeatedWhole() throws IOException {
		try (GatewayFixture gateway = new GatewayFixture().withRoutes()) {
			gateway.addServer((request, answer) -> answer.write(UNFRAMED_HEAD));
			gateway.addServer((request, answer) -> writeWhole(answer));
			assertWhole(gateway.call("/many/a"), UNFRAMED_HEAD);
		}
	}

	@Test
	void cutResponseThatMustNotBeRepeatedIsAnError() throws IOException {
		for (CutEnd end : List.of(CutEnd.CLOSE, CutEnd.RESET)) {
			try (GatewayFixture gateway = new GatewayFixture().withRoutes()) {
				ScriptedServer cutting = gateway.addServer(cutResponse(WITH_TRAILER, end));
				List<String> answers = callEach(gateway, "/once/", WITH_TRAILER.length(), cutting);
				for (int length = 0; length < WITH_TRAILER.length(); length++) {
					assertThat(answers.get(length)).as(WITH_TRAILER.substring(0, length)).startsWith(ERROR);
				}
			}
		}
	}

	// ---- streams

	private static void assertStreamRepeatedWhole(GatewayFixture gateway, String head, CutEnd end) throws IOException {
		ScriptedServer cutting = gateway.addServer(cutResponse(head, end));
		gateway.addServer((request, answer) -> writeStream(answer, event(1)));
		gateway.addToGroup("server-0", "one");
		gateway.addToGroup("server-1", "other");
		List<String> answers = callEach(gateway, "/stream/", head.length() + 1, cutting);
		for (int length = 0; length <= head.length(); length++) {
			assertWholeStream(answers.get(length), event(1), head.substring(0, length));
		}
	}

	@Test
	void streamCutWithinItsHeadAndClosedIsRepeatedWhole() throws IOException {
		for (String head : List.of(CHUNKED_HEAD, INTERIM + CHUNKED_HEAD, UNFRAMED_HEAD)) {
			try (GatewayFixture gateway = new GatewayFixture().withRoutes()) {
				assertStreamRepeatedWhole(gateway, head, CutEnd.CLOSE);
			}
		}
	}

	@Test
	void streamCutWithinItsHeadAndResetIsRepeatedWhole() throws IOException {
		try (GatewayFixture gateway = new GatewayFixture().withRoutes()) {
			assertStreamRepeatedWhole(gateway, CHUNKED_HEAD, CutEnd.RESET);
		}
	}

	@Test
	void streamOfARankCutWithinItsHeadIsRepeatedWhole() throws IOException {
		try (GatewayFixture gateway = new GatewayFixture().withRoutesToRanks()) {
			assertStreamRepeatedWhole(gateway, CHUNKED_HEAD, CutEnd.CLOSE);
		}
	}

	private static ScriptedServer.Script cutContinuation(String response, CutEnd end) {
		return (request, answer) -> {
			if (request.headers().containsKey("t-last")) {
				answer.write(response.substring(0, cutOf(request)));
				end.apply(answer);
				return;
			}
			answer.write(CHUNKED_HEAD);
			answer.writeChunk(event(1));
			answer.reset();
		};
	}

	private static void assertContinuationsTruncated(String response, int until, CutEnd end) throws IOException {
		try (GatewayFixture gateway = new GatewayFixture().withRoutes()) {
			ScriptedServer.Script script = cutContinuation(response, end);
			ScriptedServer first = gateway.addServer(script);
			gateway.addServer(script);
			List<String> answers = callEach(gateway, "/stream/", until, first);
			for (int length = 0; length < until; length++) {
				assertTruncatedStream(answers.get(length), event(1), response.substring(0, length));
			}
		}
	}

	@Test
	void continuationCutWithinItsHeadLeavesTheStreamBrokenOff() throws IOException {
		assertContinuationsTruncated(CHUNKED_HEAD, CHUNKED_HEAD.length(), CutEnd.CLOSE);
		assertContinuationsTruncated(CHUNKED_HEAD, CHUNKED_HEAD.length(), CutEnd.RESET);
		assertContinuationsTruncated(UNFRAMED_HEAD, UNFRAMED_HEAD.length(), CutEnd.CLOSE);
	}

	/** A server that stops after its head looks the same as one that has no content. */
	@Test
	void unframedContinuationClosedAfterItsHeadLeavesTheStreamBrokenOff() throws IOException {
		try (GatewayFixture gateway = new GatewayFixture().withRoutes()) {
			ScriptedServer.Script script = cutContinuation(UNFRAMED_HEAD, CutEnd.CLOSE);
			gateway.addServer(script);
			gateway.addServer(script);
			String path = "/stream/" + UNFRAMED_HEAD.length();
			assertTruncatedStream(gateway.call(path), event(1), UNFRAMED_HEAD);
		}
	}

	// ---- servers that neither send the rest nor close

	/** Sends requests for several cuts at once and reads the responses. */
	private static List<String> callAtOnce(String path, int from, int until, ScriptedServer.Script script)
			throws IOException {
		try (GatewayFixture gateway = new GatewayFixture().withRoutes()) {
			List<ScriptedServer> servers = new ArrayList<>();
			// Each attempt finds an idle server that has not failed.
			for (int i = from; i < until; i++) {
				servers.add(gateway.addServer(script));
				servers.add(gateway.addServer(script));
			}
			gateway.setPeerLoad(0);
			List<Socket> callers = new ArrayList<>();
			for (int length = from; length < until; length++) {
				callers.add(gateway.send(path + length));
			}
			List<String> answers = new ArrayList<>();
			for (Socket caller : callers) {
				try (caller) {
					answers.add(new String(caller.getInputStream().readAllBytes(), StandardCharsets.UTF_8));
				}
			}
			assertThat(servers.stream().mapToInt((server) -> server.received().size()).sum())
				.isGreaterThanOrEqualTo(until - from);
			return answers;
		}
	}

	private static List<String> callInParts(String path, int until, ScriptedServer.Script script) throws IOException {
		List<String> answers = new ArrayList<>();
		for (int from = 0; from < until; from += CALLS_AT_ONCE) {
			answers.addAll(callAtOnce(path, from, Math.min(from + CALLS_AT_ONCE, until), script));
		}
		// A late server leaves no time for another.
		answers.removeIf((answer) -> answer.startsWith(ERROR));
		assertThat(answers).isNotEmpty();
		return answers;
	}

	@Test
	void responseCutAtAnyByteAndLeftOpenDoesNotLookWhole() throws IOException {
		ScriptedServer.Script script = cutFirst(WITH_LENGTH, CutEnd.LEAVE_OPEN,
				(request, answer) -> writeWhole(answer));
		callInParts("/many/", WITH_LENGTH.length(), script).forEach((answer) -> assertWhole(answer, WITH_LENGTH));
	}

	@Test
	void streamCutWithinItsHeadAndLeftOpenDoesNotLookWhole() throws IOException {
		ScriptedServer.Script script = cutFirst(CHUNKED_HEAD, CutEnd.LEAVE_OPEN,
				(request, answer) -> writeStream(answer, event(1)));
		callInParts("/stream/", CHUNKED_HEAD.length(), script)
			.forEach((answer) -> assertWholeStream(answer, event(1), CHUNKED_HEAD));
	}

	@Test
	void continuationCutWithinItsHeadAndLeftOpenLeavesTheStreamBrokenOff() throws IOException {
		ScriptedServer.Script script = cutContinuation(CHUNKED_HEAD, CutEnd.LEAVE_OPEN);
		callInParts("/stream/", CHUNKED_HEAD.length(), script)
			.forEach((answer) -> assertTruncatedStream(answer, event(1), CHUNKED_HEAD));
	}

	/**
	 * What a server does after the first bytes of a response.
	 */
	@FunctionalInterface
	private interface CutEnd {

		/** The connection is closed when the script has ended. */
		CutEnd CLOSE = (answer) -> {
		};

		CutEnd RESET = ScriptedServer.ResponseWriter::reset;

		CutEnd LEAVE_OPEN = ScriptedServer.ResponseWriter::awaitClosed;

		void apply(ScriptedServer.ResponseWriter answer) throws IOException;

	}

}
