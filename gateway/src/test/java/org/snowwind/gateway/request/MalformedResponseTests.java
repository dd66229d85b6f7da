package org.snowwind.gateway.request;

import java.io.IOException;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that a response that is not valid HTTP never reaches a caller. The caller gets
 * the whole response of another server, an error, or a stream that is visibly broken off.
 */
class MalformedResponseTests {

	private static final String SIGNED = "t-signed: 1\r\nt-id: r1\r\n";

	private static final String LENGTH = "Content-Length: 7\r\n\r\n";

	private static final String CONTENT = "its own";

	private static final String LAST_CHUNK = "0\r\n\r\n";

	private static final String EVENT = "id: 1\ndata: text\n\n";

	private static String plain(String statusLine, String fields) {
		return statusLine + "\r\n" + SIGNED + fields + LENGTH + CONTENT;
	}

	private static String stream(String statusLine, String fields) {
		return statusLine + "\r\n" + SIGNED + fields + "Transfer-Encoding: chunked\r\n\r\n"
				+ Integer.toHexString(EVENT.length()) + "\r\n" + EVENT + "\r\n" + LAST_CHUNK;
	}

	private static void writeValid(ScriptedServer.ResponseWriter answer, String content) throws IOException {
		answer.write("HTTP/1.1 200 OK\r\n" + SIGNED + "Transfer-Encoding: chunked\r\n\r\n");
		answer.writeChunk(content);
		answer.write(LAST_CHUNK);
	}

	private static void assertError(String response) throws IOException {
		try (GatewayFixture gateway = new GatewayFixture().withRoutes()) {
			ScriptedServer malformed = gateway.addServer((request, answer) -> answer.write(response));
			ScriptedServer other = gateway.addServer((request, answer) -> writeValid(answer, "other"));
			assertThat(gateway.call("/once/a")).startsWith("HTTP/1.1 502").doesNotContain("t-signed", CONTENT);
			assertThat(malformed.received()).hasSize(1);
			assertThat(other.received()).as("work that may have run is not repeated").isEmpty();
		}
	}

	private static void assertRepeated(String response, String path, String content) throws IOException {
		try (GatewayFixture gateway = new GatewayFixture().withRoutes()) {
			ScriptedServer malformed = gateway.addServer((request, answer) -> answer.write(response));
			gateway.addServer((request, answer) -> writeValid(answer, content));
			String answer = gateway.call(path);
			assertThat(malformed.received()).hasSize(1);
			assertThat(answer).startsWith("HTTP/1.1 200");
			assertThat(answer).doesNotContain(CONTENT).contains(content);
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 000 OK", "HTTP/1.1 0 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK",
			"HTTP/1.1 1000 OK", "HTTP/1.1 0200 OK", "HTTP/1.1 200 O\0K", "HTTP/2.0 200 OK", "http/1.1 200 OK" })
	void malformedStatusLineDoesNotReachCallers(String statusLine) throws IOException {
		assertError(plain(statusLine, ""));
		assertRepeated(plain(statusLine, ""), "/many/a", "other");
		assertRepeated(stream(statusLine, ""), "/stream/a", EVENT);
	}

	@ParameterizedTest
	@ValueSource(strings = { "X Bad: v\r\n", "X-Bad : v\r\n", "X\tBad: v\r\n", "X-\u0001Bad: v\r\n" })
	void malformedFieldNameDoesNotReachCallers(String field) throws IOException {
		assertError(plain("HTTP/1.1 200 OK", field));
		assertRepeated(plain("HTTP/1.1 200 OK", field), "/many/a", "other");
		assertRepeated(stream("HTTP/1.1 200 OK", field), "/stream/a", EVENT);
	}

	@ParameterizedTest
	@ValueSource(strings = { "Content Length: 4", "Content-Length : 4", "Transfer-Encoding : chunked",
			"Transfer Encoding: chunked", "Transfer-Encoding: xchunked", "Transfer-Encoding: gzip, chunked" })
	void malformedFramingDoesNotReachCallers(String field) throws IOException {
		String response = "HTTP/1.1 200 OK\r\n" + SIGNED + field + "\r\n\r\n7\r\n" + CONTENT + "\r\n" + LAST_CHUNK;
		assertError(response);
		assertRepeated(response, "/many/a", "other");
	}

	@ParameterizedTest
	@ValueSource(strings = { "7 7\r\n" + CONTENT + "\r\n" + LAST_CHUNK, "7\0\r\n" + CONTENT + "\r\n" + LAST_CHUNK,
			"7\r\n" + CONTENT + "\r\n0\r\nX Sum: 1\r\n\r\n", "7\r\n" + CONTENT + "\r\n0\r\nX-Sum\u0001: 1\r\n\r\n" })
	void malformedChunksDoNotReachCallers(String chunks) throws IOException {
		String response = "HTTP/1.1 200 OK\r\n" + SIGNED + "Transfer-Encoding: chunked\r\n\r\n" + chunks;
		assertError(response);
		assertRepeated(response, "/many/a", "other");
	}

	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 000 X\r\n\r\n", "HTTP/1.1 103 X\r\nX Bad: v\r\n\r\n" })
	void malformedInterimResponseFailsTheAttempt(String interim) throws IOException {
		assertError(interim + plain("HTTP/1.1 200 OK", ""));
		assertRepeated(interim + plain("HTTP/1.1 200 OK", ""), "/many/a", "other");
		assertRepeated(interim + stream("HTTP/1.1 200 OK", ""), "/stream/a", EVENT);
	}

	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 000 OK\r\n", "HTTP/1.1 200 OK\r\nX Bad: v\r\n" })
	void malformedContinuationLeavesTheStreamBrokenOff(String head) throws IOException {
		try (GatewayFixture gateway = new GatewayFixture().withRoutes()) {
			ScriptedServer.Script script = (request, answer) -> {
				if (request.headers().containsKey("t-last")) {
					answer.write(head + SIGNED + "Transfer-Encoding: chunked\r\n\r\n");
					answer.writeChunk("id: 2\ndata: text\n\n");
					answer.write(LAST_CHUNK);
					return;
				}
				answer.write("HTTP/1.1 200 OK\r\n" + SIGNED + "Transfer-Encoding: chunked\r\n\r\n");
				answer.writeChunk(EVENT);
				answer.reset();
			};
			gateway.addServer(script);
			gateway.addServer(script);
			String answer = gateway.call("/stream/a");
			assertThat(answer).startsWith("HTTP/1.1 200").doesNotEndWith(LAST_CHUNK);
			assertThat(GatewayFixture.bodyOf(answer)).isEqualTo(EVENT);
		}
	}

}
