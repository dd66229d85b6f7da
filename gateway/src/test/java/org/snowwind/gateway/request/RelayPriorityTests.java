package org.snowwind.gateway.request;

import java.io.IOException;
import java.net.Socket;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the priority of requests on the data path.
 */
class RelayPriorityTests {

	private static final ScriptedServer.Script OK = (request, answer) -> answer.respond(200,
			"t-signed: 1\r\nt-id: r1\r\n", "ok");

	private static final ScriptedServer.Script STREAM = (request, answer) -> {
		answer.write("HTTP/1.1 200 OK\r\nt-signed: 1\r\nt-id: r1\r\nTransfer-Encoding: chunked\r\n\r\n");
		answer.writeChunk("id: 1\ndata: x\n\n");
		answer.write("0\r\n\r\n");
	};

	/** The number of requests at which a server has no room for a plain one. */
	private static final int FULL = 14;

	/** The number of requests at which a server has no room for a stream. */
	private static final int FULL_OF_STREAMS = 8;

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

	private static void awaitOpen(GatewayFixture gateway, int requests) throws InterruptedException {
		while (gateway.openRequests() != requests) {
			Thread.sleep(1);
		}
	}

	@Test
	void lessUrgentRequestDoesNotTakeThePlaceThatAnUrgentOneWaitsFor() throws IOException, InterruptedException {
		try (GatewayFixture gateway = new GatewayFixture().withPriorities()) {
			ScriptedServer server = gateway.addServer(STREAM);
			gateway.setPeerLoad(FULL_OF_STREAMS);
			try (Socket digest = gateway.send("/patient/a", "t-key: digest")) {
				awaitOpen(gateway, 1);
				try (Socket urgent = gateway.send("/patient/a", "t-key: urgent")) {
					awaitOpen(gateway, 2);
					gateway.setPeerLoad(FULL_OF_STREAMS - 1);
					assertThat(GatewayFixture.readSome(urgent)).startsWith("HTTP/1.1 200");
					assertThat(GatewayFixture.readSome(digest)).startsWith("HTTP/1.1 200");
				}
			}
			assertThat(server.received()).extracting((request) -> request.headers().get("t-organisation"))
				.containsExactly("urgent", "digest");
		}
	}

	@Test
	void waitingRequestIsToldInTimeThatItHasNotRun() throws IOException {
		try (GatewayFixture gateway = new GatewayFixture().withPriorities()) {
			ScriptedServer server = gateway.addServer(OK);
			gateway.setPeerLoad(FULL);
			long sentMillis = gateway.nowMillis();
			assertThat(gateway.call("/once/a", "t-key: urgent")).startsWith("HTTP/1.1 503");
			assertThat(gateway.nowMillis() - sentMillis).as("a target of 400 ms of 1500 ms")
				.isBetween(390L, GatewayFixture.TIMEOUT_MILLIS - 500);
			assertThat(server.received()).isEmpty();
			assertThat(gateway.openRequests()).isZero();
		}
	}

	@Test
	void requestWhoseCallerLeftDoesNotTakeAPlace() throws IOException, InterruptedException {
		try (GatewayFixture gateway = new GatewayFixture().withPriorities()) {
			ScriptedServer server = gateway.addServer(OK);
			gateway.setPeerLoad(FULL);
			try (Socket urgent = gateway.send("/once/a", "t-key: urgent")) {
				awaitOpen(gateway, 1);
				assertThat(urgent.isConnected()).isTrue();
			}
			awaitOpen(gateway, 0);
			gateway.setPeerLoad(0);
			gateway.call("/once/a", "t-key: digest");
			assertThat(server.received()).hasSize(1);
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
