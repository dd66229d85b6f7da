package org.snowwind.gateway.request;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests over real sockets that a silent attempt is not ended before another one has
 * answered in its place.
 */
class RelaySilenceTests {

	private static final String SIGNED = "t-signed: 1\r\nt-id: r1\r\n";

	private static final String CHUNKED = "HTTP/1.1 200 OK\r\n" + SIGNED + "Transfer-Encoding: chunked\r\n\r\n";

	private static final String LAST_CHUNK = "0\r\n\r\n";

	/** Longer than the silence after which another server is looked for. */
	private static final long LONG_SILENCE_MILLIS = 1400;

	private static final String ONE_OF_FOUR_SECONDS = "t-patience: 2500";

	private static final int CALLERS_THAT_USE_ALL_SERVERS = 9;

	private final GatewayFixture gateway = new GatewayFixture().withRoutes();

	private final CountDownLatch over = new CountDownLatch(1);

	@AfterEach
	void close() {
		this.over.countDown();
		this.gateway.close();
	}

	private static String event(int id) {
		return "id: " + id + "\ndata: text " + id + "\n\n";
	}

	private static ScriptedServer.Script pausingStream(long silenceMillis) {
		return (request, answer) -> {
			answer.write(CHUNKED);
			answer.writeChunk(event(1));
			answer.await(new CountDownLatch(1), silenceMillis);
			answer.writeChunk(event(2));
			answer.write(LAST_CHUNK);
		};
	}

	private static ScriptedServer.Script lateStream(long silenceMillis) {
		return (request, answer) -> {
			answer.await(new CountDownLatch(1), silenceMillis);
			answer.write(CHUNKED);
			answer.writeChunk(event(1) + event(2));
			answer.write(LAST_CHUNK);
		};
	}

	private static ScriptedServer.Script rejecting() {
		return (request, answer) -> answer.respond(503, "t-not-run: 1\r\n", "");
	}

	private ScriptedServer.Script silent(CountDownLatch reached) {
		return (request, answer) -> {
			reached.countDown();
			answer.await(this.over);
		};
	}

	private static void assertComplete(String answer) {
		assertThat(GatewayFixture.bodyOf(answer)).isEqualTo(event(1) + event(2));
		assertThat(answer).endsWith(LAST_CHUNK);
	}

	private static String readUntil(Socket socket, String text) throws IOException {
		StringBuilder read = new StringBuilder();
		while (read.indexOf(text) < 0) {
			String more = GatewayFixture.readSome(socket);
			assertThat(more).as("the connection goes on after: " + read).isNotEmpty();
			read.append(more);
		}
		return read.toString();
	}

	@Test
	void pausingStreamIsNotCutWhileNoOtherServerHasRoom() throws IOException {
		this.gateway.addServer(pausingStream(LONG_SILENCE_MILLIS));
		ScriptedServer other = this.gateway.addServer(pausingStream(0));
		try (Socket caller = this.gateway.send("/steady/a")) {
			String begun = readUntil(caller, event(1));
			this.gateway.setPeerLoad(8);
			assertComplete(begun + new String(caller.getInputStream().readAllBytes(), StandardCharsets.UTF_8));
		}
		assertThat(other.received()).isEmpty();
	}

	@Test
	void streamThatHasNotBegunIsNotFailedWhileNoOtherServerHasRoom() throws Exception {
		CountDownLatch reached = new CountDownLatch(1);
		this.gateway.addServer((request, answer) -> {
			reached.countDown();
			lateStream(LONG_SILENCE_MILLIS).handle(request, answer);
		});
		this.gateway.addServer(pausingStream(0));
		try (Socket caller = this.gateway.send("/steady/a")) {
			assertThat(reached.await(5, TimeUnit.SECONDS)).isTrue();
			this.gateway.setPeerLoad(8);
			assertComplete(new String(caller.getInputStream().readAllBytes(), StandardCharsets.UTF_8));
		}
	}

	@Test
	void plainAnswerIsNotFailedWhileNoOtherServerHasRoom() throws Exception {
		CountDownLatch reached = new CountDownLatch(1);
		this.gateway.addServer((request, answer) -> {
			reached.countDown();
			answer.await(new CountDownLatch(1), LONG_SILENCE_MILLIS);
			answer.respond(200, SIGNED, "late");
		});
		try (Socket caller = this.gateway.send("/again/a", ONE_OF_FOUR_SECONDS)) {
			assertThat(reached.await(5, TimeUnit.SECONDS)).isTrue();
			this.gateway.setPeerLoad(100);
			String answer = new String(caller.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
			assertThat(answer).startsWith("HTTP/1.1 200").endsWith("late");
		}
	}

	@Test
	void streamsAreNotMovedBetweenServersThatAreAllSilent() throws Exception {
		CountDownLatch allReached = new CountDownLatch(CALLERS_THAT_USE_ALL_SERVERS);
		CountDownLatch silenceOver = new CountDownLatch(1);
		List<ScriptedServer> servers = new ArrayList<>();
		for (int i = 0; i < 3; i++) {
			servers.add(this.gateway.addServer((request, answer) -> {
				allReached.countDown();
				answer.await(allReached);
				answer.write(CHUNKED);
				answer.writeChunk(event(1));
				answer.await(silenceOver);
				answer.writeChunk(event(2));
				answer.write(LAST_CHUNK);
			}));
		}
		List<Socket> callers = new ArrayList<>();
		for (int i = 0; i < CALLERS_THAT_USE_ALL_SERVERS; i++) {
			callers.add(this.gateway.send("/steady/a"));
		}
		assertThat(allReached.await(5, TimeUnit.SECONDS)).isTrue();
		TimeUnit.MILLISECONDS.sleep(LONG_SILENCE_MILLIS);
		assertThat(servers.stream().map((server) -> server.received().size())).doesNotContain(0);
		assertThat(servers.stream().mapToInt((server) -> server.received().size()).sum())
			.isEqualTo(CALLERS_THAT_USE_ALL_SERVERS);
		silenceOver.countDown();
		for (Socket caller : callers) {
			assertComplete(new String(caller.getInputStream().readAllBytes(), StandardCharsets.UTF_8));
			caller.close();
		}
	}

	@Test
	void replacementThatIsRejectedDoesNotEndThePausingStream() throws IOException {
		this.gateway.addServer(pausingStream(LONG_SILENCE_MILLIS));
		ScriptedServer other = this.gateway.addServer(rejecting());
		assertComplete(this.gateway.call("/steady/a"));
		assertThat(other.received()).hasSize(1);
	}

	@Test
	void replacementThatCannotBeReachedDoesNotEndThePausingStream() throws IOException {
		this.gateway.addServer(pausingStream(LONG_SILENCE_MILLIS));
		this.gateway.addUnreachableServer();
		assertComplete(this.gateway.call("/steady/a"));
	}

	@Test
	void replacementThatFailsDoesNotEndThePausingStream() throws IOException {
		this.gateway.addServer(pausingStream(LONG_SILENCE_MILLIS));
		this.gateway.addServer((request, answer) -> answer.respond(500, SIGNED, "oops"));
		assertComplete(this.gateway.call("/steady/a"));
	}

	@Test
	void commentOfAReplacementThatThenFailsDoesNotEndThePausingStream() throws IOException {
		this.gateway.addServer(pausingStream(LONG_SILENCE_MILLIS));
		ScriptedServer other = this.gateway.addServer((request, answer) -> {
			answer.write(CHUNKED);
			answer.writeChunk(": ping\n\n");
		});
		assertComplete(this.gateway.call("/steady/a"));
		assertThat(other.received()).hasSize(1);
	}

	@Test
	void pausingStreamIsNotCompleteBecauseItsReplacementEndsWithItsConnectionAfterTheHead() throws IOException {
		this.gateway.addServer(pausingStream(LONG_SILENCE_MILLIS));
		this.gateway.addServer((request, answer) -> answer.write("HTTP/1.1 200 OK\r\n" + SIGNED + "\r\n"));
		assertComplete(this.gateway.call("/steady/a"));
	}

	@Test
	void pausingStreamIsNotCompleteBecauseItsReplacementClosesAfterAComment() throws IOException {
		this.gateway.addServer(pausingStream(LONG_SILENCE_MILLIS));
		this.gateway.addServer((request, answer) -> answer.write("HTTP/1.1 200 OK\r\n" + SIGNED + "\r\n: ping\n\n"));
		assertComplete(this.gateway.call("/steady/a"));
	}

	@Test
	void streamThatEndsAfterASilenceIsCompleteWithoutItsReplacement() throws IOException {
		this.gateway.addServer((request, answer) -> {
			answer.write(CHUNKED);
			answer.writeChunk(event(1) + event(2));
			answer.await(new CountDownLatch(1), LONG_SILENCE_MILLIS);
			answer.write(LAST_CHUNK);
		});
		this.gateway.addServer(silent(new CountDownLatch(1)));
		assertComplete(this.gateway.call("/steady/a", "t-patience: 4000"));
	}

	@Test
	void pausingStreamIsNotCompleteBecauseItsReplacementEndsWithoutEvents() throws IOException {
		this.gateway.addServer(pausingStream(LONG_SILENCE_MILLIS));
		this.gateway.addServer((request, answer) -> {
			answer.write(CHUNKED);
			answer.write(LAST_CHUNK);
		});
		assertComplete(this.gateway.call("/steady/a"));
	}

	@Test
	void silentReplacementIsEndedWhenThePausingStreamGoesOn() throws Exception {
		CompletableFuture<Boolean> closed = new CompletableFuture<>();
		this.gateway.addServer(pausingStream(LONG_SILENCE_MILLIS));
		this.gateway.addServer((request, answer) -> closed.complete(closedByGateway(answer)));
		assertComplete(this.gateway.call("/steady/a"));
		assertThat(closed.get(2, TimeUnit.SECONDS)).isTrue();
		assertThat(this.gateway.inFlight("server-0") + this.gateway.inFlight("server-1")).isZero();
	}

	private static boolean closedByGateway(ScriptedServer.ResponseWriter answer) {
		try {
			return answer.awaitClosed();
		}
		catch (IOException ex) {
			return true;
		}
	}

	@Test
	void eventIsDeliveredOnceIfTheSilentAttemptAnswersBeforeItsReplacement() throws Exception {
		CountDownLatch secondStarted = new CountDownLatch(1);
		CompletableFuture<Boolean> closed = new CompletableFuture<>();
		this.gateway.addServer((request, answer) -> {
			answer.write(CHUNKED);
			answer.writeChunk(event(1) + "id: 2\n");
			answer.await(secondStarted);
			answer.writeChunk("data: text 2\n\n");
			answer.write(LAST_CHUNK);
		});
		this.gateway.addServer((request, answer) -> {
			assertThat(request.headers()).containsEntry("t-last", "1");
			secondStarted.countDown();
			closed.complete(closedByGateway(answer));
		});
		assertComplete(this.gateway.call("/steady/a"));
		assertThat(closed.get(2, TimeUnit.SECONDS)).isTrue();
	}

	@Test
	void bothServersAreFreedIfTheCallerLeavesDuringAReplacement() throws Exception {
		CountDownLatch second = new CountDownLatch(1);
		this.gateway.addServer(silent(new CountDownLatch(1)));
		this.gateway.addServer(silent(second));
		Socket caller = this.gateway.send("/steady/a");
		assertThat(second.await(5, TimeUnit.SECONDS)).isTrue();
		caller.close();
		long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
		while (this.gateway.openRequests() > 0 && System.nanoTime() < endNanos) {
			TimeUnit.MILLISECONDS.sleep(10);
		}
		assertThat(this.gateway.inFlight("server-0") + this.gateway.inFlight("server-1")).isZero();
	}

	@Test
	void requestRunsAtNoMoreServersThanItsAttemptsAllow() throws IOException {
		List<ScriptedServer> servers = new ArrayList<>();
		for (int i = 0; i < 4; i++) {
			servers.add(this.gateway.addServer(silent(new CountDownLatch(1))));
		}
		assertThat(this.gateway.call("/steady/a", "t-patience: 4000")).startsWith("HTTP/1.1 504");
		assertThat(servers.stream().mapToInt((server) -> server.received().size()).sum()).isEqualTo(2);
	}

	@Test
	void errorOfAReplacementIsPassedOnOnlyIfTheSilentAttemptDoesNotAnswer() throws IOException {
		this.gateway.addServer((request, answer) -> {
			answer.await(new CountDownLatch(1), LONG_SILENCE_MILLIS);
			answer.respond(200, SIGNED, "late");
		});
		this.gateway.addServer((request, answer) -> answer.respond(500, SIGNED, "oops"));
		assertThat(this.gateway.call("/again/a", ONE_OF_FOUR_SECONDS)).startsWith("HTTP/1.1 200").endsWith("late");
	}

}
