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
 * Tests for servers that pause within their answer. An attempt is given up for silence
 * only if another server can take over.
 */
class SilentAttemptFlowTests {

	/** Longer than an answer may pause before another server takes over. */
	private static final long PAUSE_MILLIS = 2500;

	private final EntryFixture entry = new EntryFixture();

	@AfterEach
	void close() {
		this.entry.close();
	}

	private static void pause() {
		try {
			new CountDownLatch(1).await(PAUSE_MILLIS, TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static ScriptedPeer.Script pausingAnswer(String begin, String end) {
		return (connection) -> {
			ScriptedPeer.Request request = connection.request();
			String length = "Content-Length: " + (begin.length() + end.length()) + "\r\n";
			connection.send(Scripts.head(request, 200, length) + begin);
			pause();
			connection.send(end);
			connection.awaitClosed();
		};
	}

	private static ScriptedPeer.Script tornAfter(String lines) {
		return (connection) -> {
			connection.send(Scripts.chunkedHead(connection.request()));
			connection.chunk(lines);
		};
	}

	private static void assertWhole(CallerAnswer answer, String body) {
		assertThat(answer.status()).isEqualTo(200);
		assertThat(answer.body()).isEqualTo(body);
		assertThat(answer.whole()).isTrue();
	}

	@Test
	void answerThatMustNotBeRepeatedIsNotBrokenOffForAPause() throws IOException {
		this.entry.meets(pausingAnswer("fir", "st"));
		try (Socket caller = this.entry.connect()) {
			assertWhole(this.entry.charge(caller, ""), "first");
		}
	}

	@Test
	void answerThatMustNotBeRepeatedIsNotLostForAPauseBeforeItsBody() throws IOException {
		this.entry.meets(pausingAnswer("", "first"));
		try (Socket caller = this.entry.connect()) {
			assertWhole(this.entry.charge(caller, ""), "first");
		}
	}

	@Test
	void plainAnswerThatCannotBeResumedIsNotBrokenOffForAPause() throws IOException {
		this.entry.meets(pausingAnswer("fir", "st")).meets(Scripts.always("", "second"));
		assertWhole(this.entry.get("/lookup"), "first");
		assertThat(this.entry.agent().received()).hasSize(1);
	}

	@Test
	void generatedAnswerIsNotBrokenOffForAPauseOfTheLastAttempt() throws IOException {
		this.entry.meets(tornAfter("{\"index\":0}\n{\"ind")).meets(tornAfter("{\"ind")).meets((connection) -> {
			connection.send(Scripts.chunkedHead(connection.request()));
			connection.chunk("{\"index\":1}\n");
			pause();
			Scripts.generatedChunks(connection, "{\"done\":true,\"tokens\":2}\n");
		});
		assertWhole(this.entry.generate(), Scripts.GENERATED);
	}

	@Test
	void lastAttemptThatContinuesAnAnswerIsNotGivenUpBeforeItsHead() throws IOException {
		this.entry.meets(tornAfter("{\"index\":0}\n{\"ind")).meets(tornAfter("{\"ind")).meets((connection) -> {
			ScriptedPeer.Request request = connection.request();
			pause();
			connection.send(Scripts.chunkedHead(request));
			Scripts.generatedChunks(connection, "{\"index\":1}\n{\"done\":true,\"tokens\":2}\n");
		});
		assertWhole(this.entry.generate(), Scripts.GENERATED);
	}

	private ScriptedPeer.Script suspectedBeforeItsHead() {
		return (connection) -> {
			ScriptedPeer.Request request = connection.request();
			this.entry.suspectAll();
			connection.send(Scripts.whole(request, 200, "", "first"));
			connection.awaitClosed();
		};
	}

	@Test
	void attemptIsNotGivenUpIfAllServersAreSuspected() throws IOException {
		this.entry.meets(suspectedBeforeItsHead()).meets(Scripts.always("", "second"));
		assertWhole(this.entry.get("/lookup"), "first");
		assertThat(this.entry.agent().received()).hasSize(1);
	}

	@Test
	void lastAttemptIsNotGivenUpIfItsServerIsSuspected() throws IOException {
		for (int i = 0; i < 2; i++) {
			this.entry.meets((connection) -> connection.request());
		}
		this.entry.meets(suspectedBeforeItsHead());
		assertWhole(this.entry.get("/lookup"), "first");
	}

	@Test
	void generatedAnswerThatIsWholeEndsThoughItsTransferDoesNot() throws IOException {
		this.entry.meets((connection) -> {
			connection.send(Scripts.chunkedHead(connection.request()));
			connection.chunk(Scripts.GENERATED);
			connection.awaitClosed();
		});
		assertWhole(this.entry.generate(), Scripts.GENERATED);
	}

	@Test
	void generatedAnswerThatPausesIsContinuedByAnotherServer() throws IOException {
		CountDownLatch continued = new CountDownLatch(1);
		this.entry.meets((connection) -> {
			connection.send(Scripts.chunkedHead(connection.request()));
			connection.chunk("{\"index\":0}\n{\"ind");
			connection.awaitClosed();
		}).meets((connection) -> {
			connection.send(Scripts.chunkedHead(connection.request()));
			Scripts.generatedChunks(connection, "{\"index\":1}\n{\"done\":true,\"tokens\":2}\n");
			continued.countDown();
		});
		assertWhole(this.entry.generate(), Scripts.GENERATED);
		assertThat(continued.getCount()).isZero();
	}

}
