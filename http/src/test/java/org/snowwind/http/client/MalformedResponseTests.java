package org.snowwind.http.client;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.snowwind.http.DataLoop;
import org.snowwind.http.client.syntax.ResponseFault;
import org.snowwind.http.client.syntax.ResponseFaults;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Tests that a response that breaks the grammar of HTTP/1.1 fails its call in both
 * clients, and that an odd one that a recipient may accept does not.
 */
class MalformedResponseTests {

	private static final long CALL_MILLIS = 5000;

	private final DataLoop loop = new DataLoop("test");

	private final UpstreamClient client = new UpstreamClient(this.loop, CALL_MILLIS, UpstreamClient.Connections.FRESH,
			UpstreamClient.Answers.FRAMED_OR_CLOSED);

	private final UpstreamClient keeping = new UpstreamClient(this.loop, CALL_MILLIS);

	private final JsonClient json = new JsonClient(Map.of(), CALL_MILLIS);

	private ScriptedServer server;

	@AfterEach
	void close() throws IOException {
		this.client.close();
		this.keeping.close();
		this.json.close();
		this.loop.close();
		this.server.close();
	}

	private void serve(String response) throws IOException {
		this.server = new ScriptedServer((connection) -> {
			String path = connection.nextPath();
			while ("/valid".equals(path)) {
				connection.write(ScriptedServer.answer(200, MalformedResponses.CONTENT));
				path = connection.nextPath();
			}
			if (path != null) {
				connection.write(response);
			}
		});
	}

	private String call(UpstreamClient caller, String path) throws Exception {
		return call(caller, "GET", path);
	}

	private String call(UpstreamClient caller, String method, String path) throws Exception {
		Call call = new Call();
		UpstreamRequest request = new UpstreamRequest(method, this.server.url() + path, Map.of(), new byte[0]);
		this.loop.run(() -> caller.send(request, call));
		return call.end.get(CALL_MILLIS, TimeUnit.MILLISECONDS);
	}

	private JsonClient.JsonAnswer callJson() throws IOException {
		return this.json.call("GET", this.server.url() + "/a", Map.of(), null, CALL_MILLIS);
	}

	private static long sum(ResponseFaults faults) {
		return Stream.of(ResponseFault.values()).mapToLong(faults::count).sum();
	}

	static Stream<String> malformed() {
		return MalformedResponses.all().stream();
	}

	static Stream<String> acceptable() {
		return MalformedResponses.acceptable().stream();
	}

	@ParameterizedTest
	@MethodSource("malformed")
	void malformedResponseFailsTheCall(String response) throws Exception {
		serve(response);
		assertThat(call(this.client, "/a")).as(response).startsWith("failure");
		assertThat(sum(this.client.faults())).as("counted").isEqualTo(1);
	}

	@ParameterizedTest
	@MethodSource("malformed")
	void malformedResponseOnAKeptConnectionFailsTheCall(String response) throws Exception {
		serve(response);
		assertThat(call(this.keeping, "/valid")).isEqualTo("200 " + MalformedResponses.CONTENT);
		assertThat(call(this.keeping, "/a")).as(response).startsWith("failure");
		assertThat(this.server.connections()).isEqualTo(1);
		assertThat(sum(this.keeping.faults())).as("counted").isEqualTo(1);
	}

	@ParameterizedTest
	@MethodSource("malformed")
	void malformedResponseFailsTheCallOfAJsonClient(String response) throws Exception {
		serve(response);
		assertThatThrownBy(this::callJson).as(response).isInstanceOf(IOException.class);
		assertThat(sum(this.json.faults())).as("counted").isEqualTo(1);
	}

	@ParameterizedTest
	@MethodSource("acceptable")
	void acceptableResponseIsAnswered(String response) throws Exception {
		serve(response);
		assertThat(call(this.client, "/a")).as(response).isEqualTo("200 " + MalformedResponses.CONTENT);
		assertThat(callJson().body().path("a").asInt()).as(response).isEqualTo(1);
	}

	@Test
	void responsesToHeadHaveNoContent() throws Exception {
		this.server = new ScriptedServer((connection) -> {
			while (connection.nextPath() != null) {
				connection.write("HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n");
			}
		});
		for (int i = 0; i < 3; i++) {
			assertThat(call(this.keeping, "HEAD", "/a")).isEqualTo("200 ");
		}
		assertThat(this.server.connections()).isEqualTo(1);
	}

	@Test
	void bytesAfterAResponseEndItsConnectionOnly() throws Exception {
		this.server = new ScriptedServer((connection) -> {
			connection.nextPath();
			connection.write(ScriptedServer.answer(200, "own") + ScriptedServer.answer(200, "other"));
			connection.nextPath();
		});
		for (int i = 0; i < 3; i++) {
			assertThat(call(this.keeping, "/a")).isEqualTo("200 own");
		}
		assertThat(this.server.connections()).isEqualTo(3);
		assertThat(this.keeping.faults().count(ResponseFault.SURPLUS_BYTES)).isEqualTo(3);
	}

	private static final class Call implements UpstreamListener {

		private final ByteArrayOutputStream body = new ByteArrayOutputStream();

		private final CompletableFuture<String> end = new CompletableFuture<>();

		private int status;

		@Override
		public void onHead(int headStatus, Map<String, String> headers) {
			this.status = headStatus;
		}

		@Override
		public void onBytes(byte[] bytes) {
			this.body.writeBytes(bytes);
		}

		@Override
		public void onEnd() {
			this.end.complete(this.status + " " + this.body.toString(StandardCharsets.UTF_8));
		}

		@Override
		public void onFailure(boolean maybeSent, Throwable cause) {
			this.end.complete("failure: " + cause);
		}

	}

}
