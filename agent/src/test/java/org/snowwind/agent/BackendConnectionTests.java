package org.snowwind.agent;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.snowwind.config.settings.AgentSettings;
import org.snowwind.model.AttemptHeaders;
import org.snowwind.standin.CallerAnswer;
import org.snowwind.standin.ScriptedPeer;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for an agent before back ends that answer twice, break off or say what only
 * agents may say.
 *
 * <p>
 * The story behind them: a back end answered a request twice, the second time after the
 * next request had been written to the same connection. The agent took the second answer
 * for that of the next attempt, which was another caller's. The cause: back ends name no
 * request in their answers, so that on a connection that is used again only the place
 * tells whose an answer is. The evidence: the test with the answer behind the next
 * request failed with the first caller's body at the second caller.
 */
class BackendConnectionTests {

	private final AgentFixture agent = new AgentFixture(AgentSettings.Backend.Kind.PLAIN, 4);

	private final CountDownLatch firstIsDone = new CountDownLatch(1);

	private final CountDownLatch surplusIsSent = new CountDownLatch(1);

	@AfterEach
	void close() {
		this.agent.close();
	}

	private static String whole(String headers, String body) {
		return "HTTP/1.1 200 OK\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body;
	}

	private static ScriptedPeer.Script always(String body) {
		return (connection) -> {
			while (connection.request() != null) {
				connection.send(whole("", body));
			}
		};
	}

	private static void await(CountDownLatch latch) {
		try {
			latch.await(10, TimeUnit.SECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void bothAttemptsGetTheirOwn() throws IOException {
		assertThat(this.agent.attempt("/first").body()).isEqualTo("first");
		this.firstIsDone.countDown();
		await(this.surplusIsSent);
		CallerAnswer second = this.agent.attempt("/second");
		assertThat(second.status()).isEqualTo(200);
		assertThat(second.body()).isEqualTo("own");
		assertThat(second.whole()).isTrue();
	}

	@Test
	void anAnswerThatComesTwiceInOnePieceGoesToNoOtherAttempt() throws IOException {
		this.surplusIsSent.countDown();
		this.agent.meets((connection) -> {
			connection.request();
			connection.send(whole("", "first") + whole("", "first"));
			always("own").play(connection);
		}).meets(always("own"));
		bothAttemptsGetTheirOwn();
	}

	@Test
	void anAnswerThatComesAgainAfterAWhileGoesToNoOtherAttempt() throws IOException {
		this.agent.meets((connection) -> {
			connection.request();
			connection.send(whole("", "first"));
			await(this.firstIsDone);
			this.surplusIsSent.countDown();
			connection.send(whole("", "first"));
			always("own").play(connection);
		}).meets(always("own"));
		bothAttemptsGetTheirOwn();
	}

	@Test
	void theRestOfAnAnswerThatBeganAfterAWhileGoesToNoOtherAttempt() throws IOException {
		this.agent.meets((connection) -> {
			connection.request();
			connection.send(whole("", "first"));
			await(this.firstIsDone);
			this.surplusIsSent.countDown();
			connection.send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nfirst");
			connection.request();
			connection.send("again");
			always("own").play(connection);
		}).meets(always("own"));
		bothAttemptsGetTheirOwn();
	}

	@Test
	void anAnswerThatComesAgainBehindTheNextRequestGoesToNoOtherAttempt() throws IOException {
		this.surplusIsSent.countDown();
		this.agent.meets((connection) -> {
			connection.request();
			connection.send(whole("", "first"));
			connection.request();
			connection.send(whole("", "first") + whole("", "own"));
			always("own").play(connection);
		}).meets(always("own"));
		bothAttemptsGetTheirOwn();
	}

	@Test
	void aLateAnswerToAnAttemptWhoseEntryIsGoneGoesToNoOtherAttempt() throws IOException {
		CountDownLatch arrived = new CountDownLatch(1);
		CountDownLatch gone = new CountDownLatch(1);
		this.agent.meets((connection) -> {
			connection.request();
			arrived.countDown();
			await(gone);
			connection.send(whole("", "first"));
			always("own").play(connection);
		}).meets(always("own"));
		try (Socket entry = this.agent.connect()) {
			this.agent.send(entry, "/first");
			await(arrived);
		}
		gone.countDown();
		assertThat(this.agent.attempt("/second").body()).isEqualTo("own");
	}

	@Test
	void anAnswerThatBreaksInItsBodyBreaksForTheEntry() throws IOException {
		this.agent.meets((connection) -> {
			connection.request();
			connection.send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nfirst");
		});
		CallerAnswer answer = this.agent.attempt("/first");
		assertThat(answer.body()).isEqualTo("first");
		assertThat(answer.whole()).isFalse();
	}

	@Test
	void aBackEndThatBreaksOffBeforeItsAnswerIsToldAsUnknown() throws IOException {
		this.agent.meets((connection) -> connection.request());
		CallerAnswer answer = this.agent.attempt("/first");
		assertThat(answer.headers()).containsEntry("x-snowwind-outcome", "unknown")
			.containsEntry(AttemptHeaders.REFUSAL, "backend-failed");
	}

	@Test
	void aBackEndCannotSpeakAsItsAgent() throws IOException {
		this.agent.meets((connection) -> {
			connection.request();
			connection.send(whole(AttemptHeaders.REFUSAL + ": overloaded\r\nX-Snowwind-Outcome: not-run\r\n", "ran"));
		});
		CallerAnswer answer = this.agent.attempt("/first");
		assertThat(answer.headers()).containsEntry("x-snowwind-outcome", "answered")
			.doesNotContainKey(AttemptHeaders.REFUSAL);
	}

	@Test
	void everyAnswerNamesItsAttempt() throws IOException {
		this.agent.meets(always("own"));
		try (Socket entry = this.agent.connect()) {
			String id = this.agent.send(entry, "/answered");
			assertThat(CallerAnswer.read(entry.getInputStream()).headers()).containsEntry(AttemptHeaders.ATTEMPT, id);
			this.agent.drain();
			String refused = this.agent.send(entry, "/refused");
			assertThat(CallerAnswer.read(entry.getInputStream()).headers())
				.containsEntry(AttemptHeaders.ATTEMPT, refused)
				.containsEntry("x-snowwind-outcome", "not-run");
		}
	}

}
