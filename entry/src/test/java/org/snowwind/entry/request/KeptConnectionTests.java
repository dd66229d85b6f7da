package org.snowwind.entry.request;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.snowwind.standin.CallerAnswer;
import org.snowwind.standin.ScriptedPeer;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link Attempt} on connections that carry one attempt after another: an
 * answer is taken for an attempt's by the id that it names, not by its place.
 *
 * <p>
 * The story behind them: a peer answered twice, the second time when the next attempt had
 * been written to the same connection. The second answer, made for one caller, went to
 * the next one, and the answer after it was taken for nobody's. The cause: an attempt's
 * id was sent, but no answer was asked for it. The evidence: the tests with a late answer
 * failed with the first caller's body at the second caller.
 */
class KeptConnectionTests {

	private final EntryFixture entry = new EntryFixture();

	private final CountDownLatch firstCallerIsDone = new CountDownLatch(1);

	private final CountDownLatch surplusIsSent = new CountDownLatch(1);

	@AfterEach
	void close() {
		this.entry.close();
	}

	private static void await(CountDownLatch latch) {
		try {
			latch.await(10, TimeUnit.SECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	// Answers whatever still comes on the connection with the caller's own body.
	private static void answerTheRest(ScriptedPeer.Connection connection) throws IOException {
		Scripts.always("", "own").play(connection);
	}

	private void bothCallersGetTheirOwn() throws IOException {
		assertThat(this.entry.get("/first").body()).isEqualTo("first");
		this.firstCallerIsDone.countDown();
		await(this.surplusIsSent);
		CallerAnswer second = this.entry.get("/second");
		assertThat(second.status()).isEqualTo(200);
		assertThat(second.body()).isEqualTo("own");
		assertThat(second.whole()).isTrue();
	}

	@Test
	void anAnswerThatComesTwiceInOnePieceGoesToNobodyElse() throws IOException {
		this.surplusIsSent.countDown();
		this.entry.meets((connection) -> {
			String answer = Scripts.whole(connection.request(), 200, "", "first");
			connection.send(answer + answer);
			answerTheRest(connection);
		}).meets(Scripts.always("", "own"));
		bothCallersGetTheirOwn();
	}

	@Test
	void anAnswerThatComesAgainWhileTheConnectionIsIdleGoesToNobodyElse() throws IOException {
		this.entry.meets((connection) -> {
			String answer = Scripts.whole(connection.request(), 200, "", "first");
			connection.send(answer);
			await(this.firstCallerIsDone);
			connection.send(answer);
			this.surplusIsSent.countDown();
			answerTheRest(connection);
		}).meets(Scripts.always("", "own"));
		bothCallersGetTheirOwn();
	}

	@Test
	void theRestOfAnAnswerThatBeganWhileTheConnectionWasIdleGoesToNobodyElse() throws IOException {
		this.entry.meets((connection) -> {
			ScriptedPeer.Request first = connection.request();
			connection.send(Scripts.whole(first, 200, "", "first"));
			await(this.firstCallerIsDone);
			connection.send(Scripts.head(first, 200, "Content-Length: 10\r\n") + "first");
			this.surplusIsSent.countDown();
			connection.request();
			connection.send("again");
			answerTheRest(connection);
		}).meets(Scripts.always("", "own"));
		bothCallersGetTheirOwn();
	}

	@Test
	void anAnswerThatComesAgainBehindTheNextRequestGoesToNobodyElse() throws IOException {
		this.surplusIsSent.countDown();
		this.entry.meets((connection) -> {
			String answer = Scripts.whole(connection.request(), 200, "", "first");
			connection.send(answer);
			ScriptedPeer.Request second = connection.request();
			connection.send(answer + Scripts.whole(second, 200, "", "own"));
			answerTheRest(connection);
		}).meets(Scripts.always("", "own"));
		bothCallersGetTheirOwn();
	}

	@Test
	void workThatMustRunAtMostOnceIsNotAnsweredByAnotherAttemptsAnswer() throws IOException {
		this.entry.meets((connection) -> {
			String answer = Scripts.whole(connection.request(), 200, "", "first");
			connection.send(answer);
			connection.request();
			connection.send(answer);
			connection.awaitClosed();
		});
		try (Socket caller = this.entry.connect()) {
			assertThat(this.entry.charge(caller, "").body()).isEqualTo("first");
			CallerAnswer second = this.entry.charge(caller, "");
			assertThat(second.status()).isEqualTo(502);
			assertThat(second.headers()).containsEntry("x-snowwind-outcome", "unknown");
		}
	}

	@Test
	void aRefusalOfAnotherAttemptSaysNothingOfThisOne() throws IOException {
		this.entry.meets((connection) -> {
			ScriptedPeer.Request first = connection.request();
			connection.send(Scripts.whole(first, 200, "", "first"));
			connection.request();
			connection.send(Scripts.refusal(first));
			connection.awaitClosed();
		}).meets(Scripts.always("", "ran twice"));
		try (Socket caller = this.entry.connect()) {
			assertThat(this.entry.charge(caller, "").body()).isEqualTo("first");
			CallerAnswer second = this.entry.charge(caller, "");
			assertThat(second.headers()).containsEntry("x-snowwind-outcome", "unknown");
			assertThat(this.entry.agent().received()).hasSize(2);
		}
	}

	@Test
	void aLateAnswerToAnAttemptThatWasGivenUpGoesToNobodyElse() throws IOException {
		CountDownLatch gaveUp = new CountDownLatch(1);
		this.entry.meets((connection) -> {
			ScriptedPeer.Request first = connection.request();
			await(gaveUp);
			connection.send(Scripts.whole(first, 200, "", "first"));
			answerTheRest(connection);
		}).meets(Scripts.always("", "own"));
		try (Socket caller = this.entry.connect()) {
			CallerAnswer late = this.entry.charge(caller, "X-Snowwind-Budget-Millis: 200\r\n");
			assertThat(late.headers()).containsEntry("x-snowwind-outcome", "unknown");
		}
		gaveUp.countDown();
		assertThat(this.entry.get("/second").body()).isEqualTo("own");
	}

	@Test
	void headersBetweenEntryAndAgentStayThere() throws IOException {
		this.entry.meets(Scripts.always("", "own"));
		assertThat(this.entry.get("/first").headers().keySet()).noneMatch((name) -> name.startsWith("snowwind-"));
	}

}
