package org.snowwind.gateway.request;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.snowwind.decide.stop.StopSchedule;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests which requests {@link GatewayHandler} accepts while the gateway stops.
 *
 * <p>
 * These tests guard against streams that are cut off by a stop. A gateway that stops
 * reports that it is not ready, but the balancer uses all gateways of a data centre while
 * fewer than half of them are ready, so a stopping gateway still receives requests. A
 * gateway that did not compare their deadlines with the known end of its stop accepted
 * requests with a timeout of 8 s until 4 s after the signal and cut them off 7.3 s after
 * it.
 */
class GatewayHandlerTests {

	/**
	 * The time until the stop ends: long enough to send a request, and no test has to
	 * wait for all of it.
	 */
	private static final long STOP_LEFT_MILLIS = 700;

	private static final long HOUR_MILLIS = 3_600_000;

	private static final long ANSWER_MARGIN_MILLIS = 100;

	private static final String SIGNED = "t-signed: 1\r\nt-id: r1\r\n";

	private static final String HEAD = "POST /many/a HTTP/1.1\r\nHost: gateway.test\r\nt-id: r1\r\nt-key: secret\r\n";

	private static final String FIRST_EVENT = "id: 1\ndata: one\n\n";

	private final GatewayFixture gateway = new GatewayFixture();

	private final CountDownLatch never = new CountDownLatch(1);

	@AfterEach
	void stop() {
		this.never.countDown();
		this.gateway.close();
	}

	private StopSchedule stopInForce() {
		long nowMillis = this.gateway.nowMillis();
		return StopSchedule.of(nowMillis, 0, STOP_LEFT_MILLIS, ANSWER_MARGIN_MILLIS);
	}

	private ScriptedServer addServerWithEndlessStream() {
		return this.gateway.withRoutes().addServer((request, answer) -> {
			answer.write("HTTP/1.1 200 X\r\nt-signed: yes\r\nt-id: r1\r\nTransfer-Encoding: chunked\r\n\r\n");
			answer.writeChunk(FIRST_EVENT);
			answer.await(this.never);
		});
	}

	@Test
	void requestThatMayOutlastTheStopIsRejectedAtOnceAndNotCutOff() throws IOException, InterruptedException {
		ScriptedServer server = addServerWithEndlessStream();
		Thread stop;
		// The connection is open before the gateway stops listening.
		try (Socket socket = this.gateway
			.sendRaw(HEAD.replace("many", "patient") + "t-patience: 8000\r\nContent-Length: 4\r\n\r\nbo")) {
			awaitOpenRequest();
			stop = this.gateway.stop(stopInForce());
			socket.getOutputStream().write("dy".getBytes(StandardCharsets.UTF_8));
			String answer = readAll(socket);
			assertThat(answer).startsWith("HTTP/1.1 503").contains("not-run").containsIgnoringCase("retry-after: ");
		}
		stop.join();
		assertThat(server.received()).isEmpty();
	}

	@Test
	void requestWithADeadlineBeforeTheEndOfTheStopIsServed() throws IOException {
		this.gateway.withRoutes().addServer((request, answer) -> answer.respond(200, SIGNED, "hello"));
		this.gateway.drain(stopInForce());
		assertThat(this.gateway.call("/many/a", "t-patience: 400")).startsWith("HTTP/1.1 200")
			.containsIgnoringCase("connection: close")
			.endsWith("hello");
	}

	@Test
	void routeTimeoutAppliesWhenTheCallerSendsNoTimeout() throws IOException {
		ScriptedServer server = this.gateway.withRoutes()
			.addServer((request, answer) -> answer.respond(200, SIGNED, "hello"));
		this.gateway.drain(stopInForce());
		assertThat(this.gateway.call("/many/a")).startsWith("HTTP/1.1 503");
		assertThat(server.received()).isEmpty();
	}

	@Test
	void everyRequestIsServedUntilTheBalancerMustHaveNoticedTheStop() throws IOException {
		this.gateway.withRoutes().addServer((request, answer) -> answer.respond(200, SIGNED, FIRST_EVENT));
		long nowMillis = this.gateway.nowMillis();
		this.gateway.drain(StopSchedule.of(nowMillis, HOUR_MILLIS, HOUR_MILLIS, ANSWER_MARGIN_MILLIS));
		assertThat(this.gateway.call("/patient/a", "t-patience: " + 2 * HOUR_MILLIS)).startsWith("HTTP/1.1 200");
	}

	@Test
	void stopIsCheckedAgainAfterASlowBodyIsRead() throws IOException {
		ScriptedServer server = this.gateway.withRoutes()
			.addServer((request, answer) -> answer.respond(200, SIGNED, "hello"));
		try (Socket socket = this.gateway.sendRaw(HEAD + "Content-Length: 4\r\n\r\nbo")) {
			awaitOpenRequest();
			this.gateway.drain(stopInForce());
			socket.getOutputStream().write("dy".getBytes(StandardCharsets.UTF_8));
			assertThat(readAll(socket)).startsWith("HTTP/1.1 503").containsIgnoringCase("connection: close");
		}
		assertThat(server.received()).isEmpty();
		assertThat(this.gateway.openRequests()).isZero();
	}

	@Test
	void requestIsRejectedIfItsBodyEndsTooLate() throws IOException {
		ScriptedServer server = this.gateway.withRoutes()
			.addServer((request, answer) -> answer.respond(200, SIGNED, "hello"));
		long nowMillis = this.gateway.nowMillis();
		this.gateway.drain(StopSchedule.of(nowMillis, HOUR_MILLIS, HOUR_MILLIS + 1, ANSWER_MARGIN_MILLIS));
		try (Socket socket = this.gateway.sendRaw(HEAD + "Content-Length: 4\r\n\r\nbo")) {
			awaitOpenRequest();
			this.gateway.advanceClock(HOUR_MILLIS);
			socket.getOutputStream().write("dy".getBytes(StandardCharsets.UTF_8));
			assertThat(readAll(socket)).startsWith("HTTP/1.1 503");
		}
		assertThat(server.received()).isEmpty();
	}

	@Test
	void expectContinueIsRejectedBeforeTheBodyDuringAStop() throws IOException {
		this.gateway.withRoutes();
		this.gateway.drain(stopInForce());
		try (Socket socket = this.gateway.sendRaw(HEAD + "Expect: 100-continue\r\nContent-Length: 4\r\n\r\n")) {
			assertThat(GatewayFixture.readSome(socket)).startsWith("HTTP/1.1 503");
		}
	}

	@Test
	void pipelinedRequestIsNotAcceptedDuringAStop() throws IOException {
		ScriptedServer server = this.gateway.withRoutes()
			.addServer((request, answer) -> answer.respond(200, SIGNED, "hello"));
		this.gateway.drain();
		String request = HEAD + "Content-Length: 4\r\n\r\nbody";
		try (Socket socket = this.gateway.sendRaw(request + request)) {
			assertThat(readAll(socket)).startsWith("HTTP/1.1 200").endsWith("hello");
		}
		assertThat(server.received()).hasSize(1);
	}

	@Test
	void noRequestIsAcceptedAfterTheStopEnds() throws IOException, InterruptedException {
		ScriptedServer server = this.gateway.withRoutes()
			.addServer((request, answer) -> answer.respond(200, SIGNED, "hello"));
		try (Socket idle = this.gateway.sendRaw(HEAD)) {
			this.gateway.stop(stopInForce()).join();
			assertThat(readAll(idle)).isEmpty();
		}
		assertThat(server.received()).isEmpty();
	}

	/**
	 * A request that was accepted before the balancer noticed the stop may have a
	 * deadline after the end of the stop. The end is known, so there is time for an error
	 * response.
	 */
	@Test
	void openRequestWithoutAResponseIsAnsweredAtTheEndOfTheStop() throws IOException, InterruptedException {
		this.gateway.withRoutes().addServer((request, answer) -> answer.await(this.never));
		long nowMillis = this.gateway.nowMillis();
		Thread stop;
		// The connection is open before the gateway stops listening.
		try (Socket socket = this.gateway
			.sendRaw(HEAD.replace("many", "patient") + "t-patience: 8000\r\nContent-Length: 4\r\n\r\nbo")) {
			awaitOpenRequest();
			stop = this.gateway
				.stop(StopSchedule.of(nowMillis, STOP_LEFT_MILLIS, STOP_LEFT_MILLIS, ANSWER_MARGIN_MILLIS));
			socket.getOutputStream().write("dy".getBytes(StandardCharsets.UTF_8));
			assertThat(readAll(socket)).startsWith("HTTP/1.1 5");
		}
		stop.join();
	}

	@Test
	void requestWithoutItsBodyIsAnsweredBeforeTheStopEnds() throws IOException, InterruptedException {
		this.gateway.withRoutes();
		Thread stop;
		// The connection is open before the gateway stops listening.
		try (Socket socket = this.gateway.sendRaw(HEAD + "t-patience: 300\r\nContent-Length: 4\r\n\r\nbo")) {
			awaitOpenRequest();
			stop = this.gateway.stop(stopInForce());
			assertThat(readAll(socket)).startsWith("HTTP/1.1 503");
		}
		stop.join();
	}

	@Test
	void requestThatWaitsForAServerIsRejectedBeforeTheStopEnds() throws IOException, InterruptedException {
		this.gateway.withRoutes().addServer((request, answer) -> answer.respond(200, SIGNED, "hello"));
		this.gateway.setPeerLoad(1000);
		Thread stop;
		try (Socket socket = this.gateway.sendRaw(HEAD + "t-patience: 400\r\nContent-Length: 4\r\n\r\nbo")) {
			awaitOpenRequest();
			stop = this.gateway.stop(stopInForce());
			socket.getOutputStream().write("dy".getBytes(StandardCharsets.UTF_8));
			assertThat(readAll(socket)).startsWith("HTTP/1.1 503");
		}
		stop.join();
	}

	@Test
	void callerThatDoesNotReadDoesNotDelayTheStopBeyondItsEnd() throws IOException, InterruptedException {
		String body = "x".repeat(8 << 20);
		this.gateway.withRoutes().addServer((request, answer) -> answer.respond(200, SIGNED, body));
		long startMillis = this.gateway.nowMillis();
		try (Socket silent = this.gateway.sendRaw(HEAD + "t-patience: 400\r\nContent-Length: 4\r\n\r\nbody")) {
			assertThat(silent.getInputStream().read()).isEqualTo('H');
			Thread stop = this.gateway.stop(stopInForce());
			stop.join();
		}
		assertThat(this.gateway.nowMillis() - startMillis).isLessThan(2 * STOP_LEFT_MILLIS);
	}

	private static String readAll(Socket socket) throws IOException {
		return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
	}

	private void awaitOpenRequest() {
		while (this.gateway.openRequests() == 0) {
			Thread.onSpinWait();
		}
	}

}
