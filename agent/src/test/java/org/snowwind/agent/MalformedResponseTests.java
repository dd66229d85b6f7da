package org.snowwind.agent;

import java.io.IOException;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.snowwind.config.settings.AgentSettings;
import org.snowwind.standin.CallerAnswer;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that a response of a back end that is not valid HTTP never reaches an entry, for
 * which it would be a response of the agent.
 */
class MalformedResponseTests {

	private static final String CONTENT = "Content-Length: 7\r\n\r\nits own";

	private static void assertError(AgentSettings.Backend.Kind kind, String response) throws IOException {
		try (AgentFixture agent = new AgentFixture(kind, 8)) {
			CallerAnswer answer = agent.meets((connection) -> {
				connection.request();
				connection.send(response);
			}).attempt("/a");
			assertThat(answer.status()).as(response).isEqualTo(502);
			assertThat(answer.body()).doesNotContain("its own");
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 000 OK\r\n" + CONTENT, "HTTP/1.1 999 OK\r\n" + CONTENT,
			"HTTP/1.1 0200 OK\r\n" + CONTENT, "HTTP/9.9 200 OK\r\n" + CONTENT,
			"HTTP/1.1 200 OK\r\nX Bad: v\r\n" + CONTENT, "HTTP/1.1 200 OK\r\nX-Bad : v\r\n" + CONTENT,
			"HTTP/1.1 200 OK\r\nX-\u0001Bad: v\r\n" + CONTENT,
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: xchunked\r\n" + CONTENT,
			"HTTP/1.1 103 X\r\nX Bad: v\r\n\r\nHTTP/1.1 200 OK\r\n" + CONTENT })
	void malformedResponseIsAnError(String response) throws IOException {
		assertError(AgentSettings.Backend.Kind.PLAIN, response);
		assertError(AgentSettings.Backend.Kind.ENGINE, response);
	}

}
