package org.snowwind.agent;

import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.snowwind.config.settings.AgentSettings;
import org.snowwind.model.AttemptHeaders;
import org.snowwind.standin.CallerAnswer;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A planned stop of an agent whose entries do not know of it yet.
 *
 * <p>
 * The story behind them: an agent on which nothing ran was told to stop and was gone
 * within some hundredths of a second, before its entries' next heartbeat. What they sent
 * on kept connections meanwhile broke off, and nobody was left who could say that it
 * never ran: work that must run at most once ended with an unknown outcome. The evidence:
 * the attempt here ended with a broken connection in place of a refusal.
 */
class AgentStopTests {

	private final AgentFixture agent = new AgentFixture(AgentSettings.Backend.Kind.PLAIN, 1);

	private CompletableFuture<Void> stopped;

	@AfterEach
	void close() {
		this.agent.close();
	}

	private void stop() {
		this.stopped = CompletableFuture.runAsync(this.agent.daemon()::drainAndStop);
	}

	private void awaitEnd() throws Exception {
		this.stopped.get(10, TimeUnit.SECONDS);
	}

	@Test
	void whatEntriesSendBeforeTheyCanKnowOfTheStopIsRefusedWithProof() throws Exception {
		this.agent.meets((connection) -> {
			connection.request();
			connection.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
		});
		try (Socket entry = this.agent.connect()) {
			this.agent.send(entry, "/first");
			assertThat(CallerAnswer.read(entry.getInputStream()).status()).isEqualTo(200);
			stop();
			TimeUnit.MILLISECONDS.sleep(300);
			this.agent.send(entry, "/second");
			CallerAnswer answer = CallerAnswer.read(entry.getInputStream());
			assertThat(answer.status()).isEqualTo(503);
			assertThat(answer.headers()).containsEntry("x-snowwind-outcome", "not-run")
				.containsEntry(AttemptHeaders.REFUSAL, "not-ready")
				.containsEntry("connection", "close");
		}
		this.agent.heartbeat();
		awaitEnd();
	}

	@Test
	void whatWaitsIsRefusedWithProofAndWhatRunsEnds() throws Exception {
		CountDownLatch arrived = new CountDownLatch(1);
		CountDownLatch refused = new CountDownLatch(1);
		this.agent.meets((connection) -> {
			connection.request();
			arrived.countDown();
			AgentStopTests.await(refused);
			connection.send("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nran");
		});
		try (Socket running = this.agent.connect(); Socket waiting = this.agent.connect()) {
			this.agent.send(running, "/running");
			await(arrived);
			this.agent.send(waiting, "/waiting");
			stop();
			CallerAnswer answer = CallerAnswer.read(waiting.getInputStream());
			assertThat(answer.headers()).containsEntry("x-snowwind-outcome", "not-run")
				.containsEntry(AttemptHeaders.REFUSAL, "not-ready");
			refused.countDown();
			assertThat(CallerAnswer.read(running.getInputStream()).body()).isEqualTo("ran");
		}
		this.agent.heartbeat();
		awaitEnd();
	}

	@Test
	void whatStillRunsAtTheEndIsToldAsUnknown() throws Exception {
		CountDownLatch arrived = new CountDownLatch(1);
		this.agent.meets((connection) -> {
			connection.request();
			arrived.countDown();
			connection.awaitClosed();
		});
		try (Socket running = this.agent.connect()) {
			this.agent.send(running, "/running");
			await(arrived);
			stop();
			CallerAnswer answer = CallerAnswer.read(running.getInputStream());
			assertThat(answer.headers()).containsEntry("x-snowwind-outcome", "unknown");
		}
		awaitEnd();
	}

	private static void await(CountDownLatch latch) {
		try {
			latch.await(10, TimeUnit.SECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
