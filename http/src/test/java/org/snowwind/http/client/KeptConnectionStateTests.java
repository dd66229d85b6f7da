package org.snowwind.http.client;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.snowwind.http.DataLoop;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * What a call did to a kept connection ends with the call.
 */
class KeptConnectionStateTests {

	private static final long CALL_MILLIS = 3000;

	private final DataLoop loop = new DataLoop("test");

	private final UpstreamClient client = new UpstreamClient(this.loop, 1000);

	private ScriptedServer server;

	@AfterEach
	void close() throws IOException {
		this.client.close();
		this.loop.close();
		this.server.close();
	}

	private Call send(boolean reading) {
		Call call = new Call(reading);
		UpstreamRequest request = new UpstreamRequest("GET", this.server.url() + "/a", Map.of(), new byte[0]);
		this.loop.run(() -> call.sent = this.client.send(request, call));
		return call;
	}

	/**
	 * A slow caller stops its call from reading while the last bytes of the answer are
	 * being taken; the next caller's answer comes on the same connection.
	 */
	@Test
	void aConnectionThatOneCallStoppedReadingIsReadForTheNext() throws Exception {
		this.server = new ScriptedServer((connection) -> {
			while (connection.nextPath() != null) {
				connection.write(ScriptedServer.answer(200, "own"));
			}
		});
		assertThat(send(false).ended.get(CALL_MILLIS, TimeUnit.MILLISECONDS)).isEqualTo("end");
		assertThat(send(true).ended.get(CALL_MILLIS, TimeUnit.MILLISECONDS)).isEqualTo("end");
	}

	/**
	 * A caller reads nothing and its call stops reading, so that the answer waits at its
	 * server and not in this process's memory.
	 */
	@Test
	void aCallThatStoppedReadingTakesNoMoreThanWhatIsUnderWay() throws Exception {
		int answerBytes = 64 << 20;
		this.server = new ScriptedServer((connection) -> {
			connection.nextPath();
			connection.write("HTTP/1.1 200 X\r\nContent-Length: " + answerBytes + "\r\n\r\n");
			String part = "x".repeat(1 << 20);
			for (int sent = 0; sent < answerBytes; sent += part.length()) {
				connection.write(part);
			}
			connection.nextPath();
		});
		Call stopped = send(false);
		TimeUnit.MILLISECONDS.sleep(1500);
		assertThat(stopped.receivedBytes.get()).isLessThan(answerBytes / 4);
	}

	@Test
	void aChangeOfProtocolThatNobodyAskedForEndsTheCall() throws Exception {
		this.server = new ScriptedServer((connection) -> {
			connection.nextPath();
			connection.write("HTTP/1.1 101 X\r\nConnection: Upgrade\r\nUpgrade: other\r\n\r\n"
					+ ScriptedServer.answer(200, "own"));
			connection.nextPath();
		});
		assertThat(send(true).ended.get(CALL_MILLIS, TimeUnit.MILLISECONDS)).isIn("end", "failure");
	}

	private static final class Call implements UpstreamListener {

		private final boolean reading;

		private final CompletableFuture<String> ended = new CompletableFuture<>();

		private UpstreamCall sent;

		private final AtomicInteger receivedBytes = new AtomicInteger();

		private Call(boolean reading) {
			this.reading = reading;
		}

		@Override
		public void onHead(int status, Map<String, String> headers) {
			// Only the body and the end matter here.
		}

		@Override
		public void onBytes(byte[] bytes) {
			this.receivedBytes.addAndGet(bytes.length);
			if (!this.reading) {
				this.sent.reading(false);
			}
		}

		@Override
		public void onEnd() {
			this.ended.complete("end");
		}

		@Override
		public void onFailure(boolean maybeSent, Throwable cause) {
			this.ended.complete("failure");
		}

	}

}
