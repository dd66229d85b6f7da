package org.snowwind.entry.request;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.snowwind.config.settings.Addresses;
import org.snowwind.http.DataLoop;
import org.snowwind.http.client.UpstreamCall;
import org.snowwind.http.client.UpstreamClient;
import org.snowwind.http.client.UpstreamListener;
import org.snowwind.http.client.UpstreamRequest;
import org.snowwind.standin.ScriptedPeer;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A caller that reads slowly must not be felt by the next one whose attempt goes over the
 * same connection.
 *
 * <p>
 * While a caller does not take bytes, reading from its server stops. If the last bytes
 * had already been read, the answer is whole and its connection is kept; were it kept
 * with its reading stopped, the next attempt's answer would never be read.
 */
class BackPressureTests {

	private final DataLoop loop = new DataLoop("test");

	private final UpstreamClient client = new UpstreamClient(this.loop, 500);

	private final ScriptedPeer agent = new ScriptedPeer();

	@AfterEach
	void close() {
		this.client.close();
		this.loop.close();
		this.agent.close();
	}

	@Test
	void readingThatStoppedWithTheLastBytesGoesOnForTheNextRequest() throws Exception {
		this.agent.next((connection) -> {
			while (connection.request() != null) {
				connection.send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole");
			}
		});
		assertThat(send(true).get(10, TimeUnit.SECONDS)).isEqualTo("whole");
		assertThat(send(false).get(10, TimeUnit.SECONDS)).isEqualTo("whole");
	}

	private CompletableFuture<String> send(boolean stopsReading) {
		CompletableFuture<String> answer = new CompletableFuture<>();
		String url = "http://" + Addresses.render(this.agent.address()) + "/";
		this.loop.run(() -> {
			Collector collector = new Collector(answer, stopsReading);
			collector.call = this.client.send(new UpstreamRequest("GET", url, Map.of(), new byte[0]), collector);
		});
		return answer;
	}

	/**
	 * Collects an answer, and may stop reading with its first bytes.
	 */
	private static final class Collector implements UpstreamListener {

		private final CompletableFuture<String> answer;

		private final boolean stopsReading;

		private final ByteArrayOutputStream body = new ByteArrayOutputStream();

		private UpstreamCall call;

		private Collector(CompletableFuture<String> answer, boolean stopsReading) {
			this.answer = answer;
			this.stopsReading = stopsReading;
		}

		@Override
		public void onHead(int status, Map<String, String> headers) {
			// Only the body counts here.
		}

		@Override
		public void onBytes(byte[] bytes) {
			this.body.writeBytes(bytes);
			if (this.stopsReading) {
				this.call.reading(false);
			}
		}

		@Override
		public void onEnd() {
			this.answer.complete(this.body.toString(StandardCharsets.UTF_8));
		}

		@Override
		public void onFailure(boolean maybeSent, Throwable cause) {
			this.answer.completeExceptionally(cause);
		}

	}

}
