package org.snowwind.gateway.request;

import java.io.IOException;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the priority of requests on the data path.
 */
class RelayPriorityTests {

	private static final ScriptedServer.Script OK = (request, answer) -> answer.respond(200,
			"t-signed: 1\r\nt-id: r1\r\n", "ok");

	@Test
	void serverIsToldThePriorityOfTheOrganisationAndNotOfTheCaller() throws IOException {
		try (GatewayFixture gateway = new GatewayFixture().withPriorities()) {
			ScriptedServer server = gateway.addServer(OK);
			gateway.call("/once/a", "t-key: digest", "t-priority: 0");
			gateway.call("/once/a", "t-key: urgent");
			assertThat(server.received().get(0).headers()).containsEntry("t-priority", "2");
			assertThat(server.received().get(1).headers()).containsEntry("t-priority", "0");
		}
	}

	@Test
	void serverIsToldNoPriorityIfAllRequestsHaveTheSame() throws IOException {
		try (GatewayFixture gateway = new GatewayFixture().withRoutes()) {
			ScriptedServer server = gateway.addServer(OK);
			gateway.call("/once/a");
			assertThat(server.received().get(0).headers()).doesNotContainKey("t-priority");
		}
	}

}
