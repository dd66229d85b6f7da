package org.snowwind.entry.request;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.snowwind.model.duty.Pause;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that an entry does not take a pause of its own for the silence of a server.
 */
class OwnPauseTests {

	/** Longer than a stream may pause in the fixture. */
	private static final long PAUSE_MILLIS = 2500;

	private final EntryFixture entry = new EntryFixture();

	@AfterEach
	void close() {
		this.entry.close();
	}

	@Test
	void streamIsNotGivenUpForAPauseOfTheEntry() throws IOException {
		this.entry.beginPause();
		this.entry.meets((connection) -> {
			connection.send(Scripts.chunkedHead(connection.request()));
			connection.chunk("{\"index\":0}\n");
			Pause.millis(PAUSE_MILLIS);
			Scripts.generatedChunks(connection, "{\"index\":1}\n{\"done\":true,\"tokens\":2}\n");
			connection.awaitClosed();
		});
		assertThat(this.entry.generate().body()).contains("\"index\":0", "\"index\":1", "\"done\":true");
	}

	@Test
	void streamThatIsSilentWhileTheEntryRunsIsGivenUp() throws IOException, InterruptedException {
		CountDownLatch givenUp = new CountDownLatch(1);
		this.entry.meets((connection) -> {
			connection.send(Scripts.chunkedHead(connection.request()));
			connection.chunk("{\"index\":0}\n");
			connection.awaitClosed();
			givenUp.countDown();
		});
		this.entry.generate();
		assertThat(givenUp.await(PAUSE_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
	}

}
