package org.snowwind.gateway.request;

import java.io.IOException;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests what callers are told by a route table that may not be the newest.
 */
class StaleTableTests {

	private static final String NOWHERE = "/nowhere/a";

	private final GatewayFixture gateway = new GatewayFixture().routed();

	@AfterEach
	void stop() {
		this.gateway.close();
	}

	@Test
	void aConfirmedTableRefusesForGood() throws IOException {
		assertThat(this.gateway.call(NOWHERE)).startsWith("HTTP/1.1 404");
	}

	@Test
	void anUnconfirmedTableDoesNotRefuseForGood() throws IOException {
		this.gateway.passMillis(GatewayFixture.BOUND_MILLIS + 1);
		assertThat(this.gateway.call(NOWHERE)).startsWith("HTTP/1.1 503");
	}

	@Test
	void aTableOlderThanAPeersDoesNotRefuseForGood() throws IOException {
		this.gateway.told(2);
		assertThat(this.gateway.call(NOWHERE)).startsWith("HTTP/1.1 503");
	}

}
