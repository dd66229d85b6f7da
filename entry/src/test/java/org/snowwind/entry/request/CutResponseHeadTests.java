package org.snowwind.entry.request;

import java.io.IOException;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;

import org.junit.jupiter.api.Test;
import org.snowwind.standin.CallerAnswer;
import org.snowwind.standin.ScriptedPeer;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for agents that send only the first bytes of a response on a kept connection. The
 * caller gets a whole response, an error, or a response that is visibly broken off.
 */
class CutResponseHeadTests {

	private static final int BAD_GATEWAY = 502;

	private static final String BODY = "twenty-three bytes long";

	private static final String CHUNKS = "17\r\n" + BODY + "\r\n0\r\nSum: 1\r\n\r\n";

	/** Plain responses to a request, as an agent writes them. */
	private static final List<Function<ScriptedPeer.Request, String>> RESPONSES = List.of(
			(request) -> Scripts.whole(request, 200, "X-From: first\r\n", BODY),
			(request) -> Scripts.chunkedHead(request) + CHUNKS, (request) -> "HTTP/1.1 103 X\r\nLink: </a>\r\n\r\n"
					+ Scripts.whole(request, 200, "X-A: b\r\n c\r\n", BODY));

	/** Longer than any head, so that a loop over its bytes ends. */
	private static final int MAX_BYTES = 1000;

	/** Cuts the first response to each path and sends a whole one to its repetition. */
	private static ScriptedPeer.Script cutFirst(Function<ScriptedPeer.Request, String> response, CutEnd end,
			Set<String> cut, AtomicBoolean sentAll) {
		return (connection) -> {
			for (var request = connection.request(); request != null; request = connection.request()) {
				if (cut.add(request.line())) {
					String path = request.line().split(" ")[1];
					int sentBytes = Integer.parseInt(path.substring(path.lastIndexOf('/') + 1));
					String text = response.apply(request);
					sentAll.set(sentBytes >= text.length());
					connection.send(text.substring(0, Math.min(sentBytes, text.length())));
					end.apply(connection);
					return;
				}
				connection.send(Scripts.whole(request, 200, "", "whole"));
			}
		};
	}

	private static boolean isSafe(CallerAnswer answer) {
		return switch (answer.status()) {
			case 200 -> answer.whole() ? "whole".equals(answer.body()) : BODY.startsWith(answer.body());
			case 502 -> true;
			default -> false;
		};
	}

	private static void assertNoShortResponse(Function<ScriptedPeer.Request, String> response, CutEnd end)
			throws IOException {
		Set<String> cut = ConcurrentHashMap.newKeySet();
		AtomicBoolean sentAll = new AtomicBoolean();
		try (EntryFixture entry = new EntryFixture()) {
			for (int sentBytes = 0; sentBytes < MAX_BYTES && !sentAll.get(); sentBytes++) {
				ScriptedPeer.Script script = cutFirst(response, end, cut, sentAll);
				CallerAnswer answer = entry.meets(script).meets(script).get("/" + sentBytes);
				assertThat(sentAll.get() || isSafe(answer)).as("cut after %s bytes: %s", sentBytes, answer).isTrue();
				assertThat(cut).hasSize(sentBytes + 1);
			}
			assertThat(sentAll).isTrue();
		}
	}

	@Test
	void responseCutAtAnyByteAndClosedDoesNotLookWhole() throws IOException {
		for (Function<ScriptedPeer.Request, String> response : RESPONSES) {
			assertNoShortResponse(response, CutEnd.CLOSE);
		}
	}

	@Test
	void responseCutAtAnyByteAndResetDoesNotLookWhole() throws IOException {
		for (Function<ScriptedPeer.Request, String> response : RESPONSES) {
			assertNoShortResponse(response, CutEnd.RESET);
		}
	}

	/** A response without a length looks the same when its agent stops midway. */
	@Test
	void responseThatEndsWithItsConnectionDoesNotLookWhole() throws IOException {
		try (EntryFixture entry = new EntryFixture()) {
			for (String body : List.of("", BODY)) {
				for (int i = 0; i < 3; i++) {
					entry.meets((connection) -> connection.send(Scripts.head(connection.request(), 200, "") + body));
				}
				assertThat(entry.get("/a").status()).isEqualTo(BAD_GATEWAY);
			}
		}
	}

	@Test
	void generatedResponseCutWithinItsHeadIsRepeatedWhole() throws IOException {
		for (CutEnd end : List.of(CutEnd.CLOSE, CutEnd.RESET)) {
			AtomicBoolean sentAll = new AtomicBoolean();
			for (int length = 0; length < MAX_BYTES && !sentAll.get(); length++) {
				int sentBytes = length;
				try (EntryFixture entry = new EntryFixture()) {
					entry.meets((connection) -> {
						String head = Scripts.chunkedHead(connection.request());
						sentAll.set(sentBytes >= head.length());
						connection.send(head.substring(0, sentBytes));
						end.apply(connection);
					}).meets(Scripts.generated());
					CallerAnswer answer = entry.generate();
					assertThat(answer.body()).as("cut after %s bytes", sentBytes).isEqualTo(Scripts.GENERATED);
					assertThat(answer.whole()).isTrue();
				}
			}
			assertThat(sentAll).isTrue();
		}
	}

	@Test
	void generatedResponseWhoseContinuationIsCutWithinItsHeadIsContinuedByAThird() throws IOException {
		AtomicBoolean sentAll = new AtomicBoolean();
		for (int length = 0; length < MAX_BYTES && !sentAll.get(); length++) {
			int sentBytes = length;
			try (EntryFixture entry = new EntryFixture()) {
				entry.meets((connection) -> {
					connection.send(Scripts.chunkedHead(connection.request()));
					connection.chunk("{\"index\":0}\n{\"ind");
				}).meets((connection) -> {
					String head = Scripts.chunkedHead(connection.request());
					sentAll.set(sentBytes >= head.length());
					connection.send(head.substring(0, sentBytes));
				}).meets((connection) -> {
					connection.send(Scripts.chunkedHead(connection.request()));
					Scripts.generatedChunks(connection, "{\"index\":1}\n{\"done\":true,\"tokens\":2}\n");
				});
				CallerAnswer answer = entry.generate();
				assertThat(answer.body()).as("cut after %s bytes", sentBytes).isEqualTo(Scripts.GENERATED);
				assertThat(answer.whole()).isTrue();
			}
		}
		assertThat(sentAll).isTrue();
	}

	/**
	 * What an agent does after the first bytes of a response.
	 */
	@FunctionalInterface
	private interface CutEnd {

		/** The connection is closed when the script has ended. */
		CutEnd CLOSE = (connection) -> {
		};

		CutEnd RESET = ScriptedPeer.Connection::reset;

		void apply(ScriptedPeer.Connection connection) throws IOException;

	}

}
