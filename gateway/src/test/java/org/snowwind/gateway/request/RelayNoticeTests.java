package org.snowwind.gateway.request;

import java.io.IOException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that {@link Relay} applies the announcements in a server's response to later
 * requests.
 */
class RelayNoticeTests {

	private static final String SIGNED = "t-signed: 1\r\nt-id: r1\r\n";

	private static final String REJECTED = "t-not-run: 1\r\nt-retry-after: 60000\r\n";

	private static final Pattern RETRY_AFTER = Pattern.compile("(?i)retry-after: ([0-9.]+)");

	private final GatewayFixture gateway = new GatewayFixture().withRoutes();

	@AfterEach
	void close() {
		this.gateway.close();
	}

	private ScriptedServer addServer(int status, String headers) {
		return this.gateway.addServer((request, answer) -> answer.respond(status, headers, "x"));
	}

	private static double retryAfterSeconds(String answer) {
		Matcher matcher = RETRY_AFTER.matcher(answer);
		assertThat(matcher.find()).as(answer).isTrue();
		return Double.parseDouble(matcher.group(1));
	}

	@Test
	void serverIsNotRetriedBeforeItsRetryAfterExpires() throws IOException {
		ScriptedServer rejecting = addServer(503, "t-id: r1\r\n" + REJECTED);
		ScriptedServer serving = addServer(200, SIGNED);
		for (int i = 0; i < 3; i++) {
			assertThat(this.gateway.call("/once/a")).startsWith("HTTP/1.1 200");
		}
		assertThat(rejecting.received()).hasSize(1);
		this.gateway.advanceClock(70_000);
		assertThat(this.gateway.call("/once/a")).startsWith("HTTP/1.1 200");
		assertThat(rejecting.received()).hasSize(2);
		assertThat(serving.received()).hasSize(4);
	}

	@Test
	void rejectionOfAnotherRequestStartsNoBackoff() throws IOException {
		ScriptedServer rejecting = addServer(503, "t-id: r2\r\n" + REJECTED);
		addServer(200, SIGNED);
		this.gateway.call("/once/a");
		this.gateway.call("/once/a");
		assertThat(rejecting.received()).hasSize(2);
	}

	@Test
	void leavingServerGetsNoFurtherRequests() throws IOException {
		ScriptedServer leaving = addServer(200, SIGNED + "t-leaving: 1\r\n");
		ScriptedServer staying = addServer(200, SIGNED);
		for (int i = 0; i < 3; i++) {
			assertThat(this.gateway.call("/once/a")).startsWith("HTTP/1.1 200");
		}
		assertThat(leaving.received()).hasSize(1);
		assertThat(staying.received()).hasSize(2);
	}

	@Test
	void callerIsToldTheTrueReturnIfNoServerReturnsBeforeItsDeadline() throws IOException {
		ScriptedServer rejecting = addServer(503, "t-id: r1\r\n" + REJECTED);
		assertThat(retryAfterSeconds(this.gateway.call("/once/a"))).isBetween(59.0, 62.0);
		assertThat(retryAfterSeconds(this.gateway.call("/once/a"))).isBetween(59.0, 62.0);
		assertThat(rejecting.received()).hasSize(1);
	}

}
