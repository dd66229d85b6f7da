package org.snowwind.agent;

import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.snowwind.config.settings.AgentSettings;
import org.snowwind.standin.CallerAnswer;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A planned stop of an agent.
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
