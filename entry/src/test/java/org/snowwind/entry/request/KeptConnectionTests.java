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

}
