package org.snowwind.http.client;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.zip.GZIPOutputStream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.snowwind.http.client.JsonClient.JsonAnswer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Tests of {@link JsonClient} with servers that send more than a response may have.
 */
class JsonClientLimitsTests {

	private static final long CALL_MILLIS = 5000;

	private static final int MAX_BYTES = 100_000;

	private static final int MAX_TOTAL_BYTES = 250_000;

	/** More than the kernel buffers, and little enough for a client without limits. */
	private static final int ENDLESS_BYTES = 32 << 20;

	private static final String OK = "HTTP/1.1 200 OK\r\n";

	private static final String BLOCK = "1".repeat(16 * 1024);

	private final JsonClient client = new JsonClient(Map.of(), 1000, new ResponseLimits(MAX_BYTES, MAX_TOTAL_BYTES));

	private final CountDownLatch closedByClient = new CountDownLatch(1);

	private final CountDownLatch over = new CountDownLatch(1);

	private ScriptedServer server;

	@AfterEach
	void close() throws IOException {
		this.over.countDown();
		this.client.close();
		this.server.close();
	}

	private void serveEndlessly(String start, String repeated) throws IOException {
		String block = repeated.repeat(Math.max(1, BLOCK.length() / repeated.length()));
		this.server = new ScriptedServer((connection) -> {
			connection.nextPath();
			try {
				connection.write(start);
				for (int sent = 0; sent < ENDLESS_BYTES; sent += block.length()) {
					connection.write(block);
				}
			}
			catch (IOException ex) {
				this.closedByClient.countDown();
			}
			this.over.await();
		});
	}

	private JsonAnswer call() throws IOException {
		return this.client.call("GET", this.server.url() + "/", Map.of(), null, CALL_MILLIS);
	}

	private void assertCallFailsAndCloses(String message) throws InterruptedException {
		assertThatThrownBy(this::call).isInstanceOf(IOException.class).hasMessageContaining(message);
		assertThat(this.closedByClient.await(CALL_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
	}

	private void assertCallExceedsLimit() throws InterruptedException {
		assertCallFailsAndCloses("more than " + MAX_BYTES + " bytes");
	}

	@Test
	void statusLineWithoutEndIsNotHeld() throws Exception {
		serveEndlessly("HTTP/1.1 200 ", "a");
		assertCallFailsAndCloses("larger than");
	}

	@Test
	void headWithoutEndIsNotHeld() throws Exception {
		serveEndlessly(OK, "X-More: 1\r\n");
		assertCallFailsAndCloses("larger than");
	}

	@Test
	void interimResponsesWithoutEndAreNotRead() throws Exception {
		serveEndlessly("", "HTTP/1.1 103 Early Hints\r\n\r\n");
		assertCallFailsAndCloses("more than 64 interim responses");
	}

	@Test
	void chunksWithoutEndAreNotHeld() throws Exception {
		serveEndlessly(OK + "Transfer-Encoding: chunked\r\n\r\n", "1\r\n1\r\n");
		assertCallExceedsLimit();
	}

	@Test
	void oneChunkWithoutEndIsNotHeld() throws Exception {
		serveEndlessly(OK + "Transfer-Encoding: chunked\r\n\r\n7fffffff\r\n", BLOCK);
		assertCallExceedsLimit();
	}

	@Test
	void chunkExtensionWithoutEndIsNotHeld() throws Exception {
		serveEndlessly(OK + "Transfer-Encoding: chunked\r\n\r\n1;", "a");
		assertCallFailsAndCloses("larger than");
	}

	@Test
	void bodyOfTerabyteIsNotHeld() throws Exception {
		serveEndlessly(OK + "Content-Length: 1099511627776\r\n\r\n", BLOCK);
		assertCallExceedsLimit();
	}

	@Test
	void unframedBodyWithoutEndIsNotHeld() throws Exception {
		serveEndlessly(OK + "\r\n", BLOCK);
		assertCallExceedsLimit();
	}

	@Test
	void trailersWithoutEndAreNotHeld() throws Exception {
		serveEndlessly(OK + "Transfer-Encoding: chunked\r\n\r\n1\r\n1\r\n0\r\n", "X-More: 1\r\n");
		assertCallFailsAndCloses("larger than");
	}

	@Test
	void bytesAfterResponseAreNotRead() throws Exception {
		serveEndlessly(ScriptedServer.answer(200, "{}"), BLOCK);
		assertThat(call().status()).isEqualTo(200);
		assertThat(this.closedByClient.await(CALL_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
	}

	@Test
	void compressedBodyIsNotInflatedBeyondLimit() throws Exception {
		ByteArrayOutputStream compressed = new ByteArrayOutputStream();
		try (GZIPOutputStream out = new GZIPOutputStream(compressed)) {
			out.write(("\"" + "1".repeat(50 * MAX_BYTES) + "\"").getBytes(StandardCharsets.US_ASCII));
		}
		assertThat(compressed.size()).isLessThan(MAX_BYTES);
		this.server = new ScriptedServer((connection) -> {
			connection.nextPath();
			connection.write(OK + "Content-Encoding: gzip\r\nContent-Length: " + compressed.size() + "\r\n\r\n"
					+ compressed.toString(StandardCharsets.ISO_8859_1));
		});
		assertThatThrownBy(this::call).isInstanceOf(IOException.class);
	}

	@Test
	void responseWithinLimitIsRead() throws Exception {
		String value = "1".repeat(MAX_BYTES - 1000);
		this.server = new ScriptedServer((connection) -> {
			connection.nextPath();
			connection.write(ScriptedServer.answer(200, "\"" + value + "\""));
		});
		assertThat(call().body().asText()).isEqualTo(value);
	}

	@Test
	void unfinishedResponsesTogetherStayWithinTotal() throws Exception {
		CountDownLatch exceeded = new CountDownLatch(1);
		this.server = new ScriptedServer((connection) -> {
			connection.nextPath();
			connection.write(OK + "Content-Length: 90002\r\n\r\n\"" + "1".repeat(90_000));
			exceeded.await();
			connection.write("\"");
		});
		List<CompletableFuture<JsonAnswer>> pending = new ArrayList<>();
		for (int i = 0; i < 3; i++) {
			pending.add(this.client.start("GET", this.server.url() + "/", Map.of(), null, CALL_MILLIS));
		}
		assertThatThrownBy(() -> CompletableFuture.anyOf(pending.toArray(CompletableFuture[]::new)).get())
			.isInstanceOf(ExecutionException.class)
			.hasMessageContaining(MAX_TOTAL_BYTES + " bytes");
		exceeded.countDown();
		long served = 0;
		for (CompletableFuture<JsonAnswer> call : pending) {
			served += call.handle((answer, failure) -> (failure != null) ? 0 : 1).get();
		}
		assertThat(served).isEqualTo(2);
	}

	@Test
	void finishedResponsesDoNotCountTowardsTotal() throws Exception {
		String value = "1".repeat(MAX_BYTES - 1000);
		this.server = new ScriptedServer((connection) -> {
			connection.nextPath();
			connection.write(ScriptedServer.answer(200, "\"" + value + "\""));
		});
		for (int i = 0; i < 10; i++) {
			assertThat(call().status()).isEqualTo(200);
		}
	}

}
