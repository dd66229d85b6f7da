package org.snowwind.agent;

import java.io.IOException;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.snowwind.config.settings.AgentSettings;
import org.snowwind.standin.CallerAnswer;
import org.snowwind.standin.ScriptedPeer;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for back ends that send only the first bytes of a response. An entry gets an
 * error or a response that is visibly broken off, which it can tell from a whole one.
 */
class CutResponseHeadTests {

	private static final String BODY = "twenty-three bytes long";

	private static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n17\r\n" + BODY
			+ "\r\n0\r\nSum: 1\r\n\r\n";

	private static final String UNFRAMED = "HTTP/1.1 200 OK\r\nServer: scripted\r\n\r\n" + BODY;

	private static final List<String> FRAMED = List.of("HTTP/1.1 200 OK\r\nContent-Length: 23\r\n\r\n" + BODY, CHUNKED,
			"HTTP/1.1 200 OK\r\nServer: a\r\n b\r\nContent-Length: 23\r\n\r\n" + BODY,
			"HTTP/1.1 103 X\r\nLink: </a>\r\n\r\n" + CHUNKED);

	private static void assertNotWhole(AgentFixture agent, ScriptedPeer.Script script, String sent) throws IOException {
		CallerAnswer answer = agent.meets(script).attempt("/a");
		boolean wholeError = answer.status() == 502 && answer.whole();
		boolean brokenOff = answer.status() == 200 && !answer.whole();
		assertThat(wholeError || brokenOff).as("%s for: %s", answer, sent).isTrue();
	}

	private static void assertCutsNotWhole(AgentFixture agent, String response, int until) throws IOException {
		for (int length = 0; length < until; length++) {
			String sent = response.substring(0, length);
			assertNotWhole(agent, (connection) -> {
				connection.request();
				connection.send(sent);
			}, sent);
			assertNotWhole(agent, (connection) -> {
				connection.request();
				connection.send(sent);
				connection.reset();
			}, sent);
		}
		assertThat(agent.backend().received()).hasSize(2 * until);
	}

	@Test
	void framedResponseCutAtAnyByteDoesNotLookWhole() throws IOException {
		for (String response : FRAMED) {
			try (AgentFixture agent = new AgentFixture(AgentSettings.Backend.Kind.PLAIN, 8)) {
				assertCutsNotWhole(agent, response, response.length());
			}
		}
	}

	/** A response without a length looks the same when its back end stops midway. */
	@Test
	void responseThatEndsWithItsConnectionDoesNotLookWhole() throws IOException {
		try (AgentFixture agent = new AgentFixture(AgentSettings.Backend.Kind.PLAIN, 8)) {
			assertCutsNotWhole(agent, UNFRAMED, UNFRAMED.length() + 1);
		}
	}

	@Test
	void responseOfAnEngineCutAtAnyByteDoesNotLookWhole() throws IOException {
		try (AgentFixture agent = new AgentFixture(AgentSettings.Backend.Kind.ENGINE, 8)) {
			assertCutsNotWhole(agent, CHUNKED, CHUNKED.length());
		}
	}

}
