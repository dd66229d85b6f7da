package org.snowwind.gateway.request;

import java.io.IOException;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the rejections of {@link GatewayHandler} if its route table may be outdated.
 */
class StaleTableTests {

	private static final String UNKNOWN_PATH = "/nowhere/a";

	private final GatewayFixture gateway = new GatewayFixture().withRoutes();

	@AfterEach
	void stop() {
		this.gateway.close();
	}

	@Test
	void confirmedTableRejectsPermanently() throws IOException {
		assertThat(this.gateway.call(UNKNOWN_PATH)).startsWith("HTTP/1.1 404");
	}

	@Test
	void unconfirmedTableDoesNotRejectPermanently() throws IOException {
		this.gateway.advanceClock(GatewayFixture.MAX_UNCONFIRMED_MILLIS + 1);
		assertThat(this.gateway.call(UNKNOWN_PATH)).startsWith("HTTP/1.1 503");
	}

	@Test
	void tableOlderThanAPeersDoesNotRejectPermanently() throws IOException {
		this.gateway.announceTableVersion(2);
		assertThat(this.gateway.call(UNKNOWN_PATH)).startsWith("HTTP/1.1 503");
	}

}
