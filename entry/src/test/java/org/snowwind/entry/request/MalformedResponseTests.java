package org.snowwind.entry.request;

import java.io.IOException;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.snowwind.standin.CallerAnswer;
import org.snowwind.standin.ScriptedPeer;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that a response of an agent that is not valid HTTP never reaches a caller, also
 * on a connection that has carried a valid one.
 */
class MalformedResponseTests {

	private static final String CONTENT = "its own";

	private static final String STATUS_LINE = "HTTP/1.1 200 X\r\n";

	private static ScriptedPeer.Script malformedAfterValid(String head) {
		return (connection) -> {
			connection.send(Scripts.whole(connection.request(), 200, "", "valid"));
			for (var request = connection.request(); request != null; request = connection.request()) {
				connection.send(Scripts.whole(request, 200, "", CONTENT).replace(STATUS_LINE, head));
			}
		};
	}

	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 000 X\r\n", "HTTP/1.1 600 X\r\n", "HTTP/1.1 0200 X\r\n", "HTTP/9.9 200 X\r\n",
			STATUS_LINE + "X Bad: v\r\n", STATUS_LINE + "X-Bad : v\r\n", STATUS_LINE + "X-\u0001Bad: v\r\n",
			STATUS_LINE + "Transfer-Encoding: xchunked\r\n", "HTTP/1.1 103 X\r\nX Bad: v\r\n\r\n" + STATUS_LINE })
	void malformedResponseDoesNotReachCallers(String head) throws IOException {
		try (EntryFixture entry = new EntryFixture()) {
			entry.meets(malformedAfterValid(head)).meets(Scripts.always("", "valid"));
			for (int i = 0; i < 4; i++) {
				CallerAnswer answer = entry.get("/" + i);
				assertThat(answer.body()).doesNotContain(CONTENT);
				assertThat(answer.status()).isIn(200, 502);
				assertThat(answer.whole()).isTrue();
			}
		}
	}

}
