package org.snowwind.http.client;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.snowwind.http.DataLoop;
import org.snowwind.http.client.ScriptedServer.Script;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * On connections of their own, requests get their final answer whole, or a failure.
 */
class UpstreamClientTests {

	private static final long CALL_MILLIS = 5000;

	private static final long SHORT_MILLIS = 100;

	private static final String SURPLUS = ScriptedServer.answer(200, "another's");

	private final DataLoop loop = new DataLoop("test");

	private final UpstreamClient client = new UpstreamClient(this.loop, 1000, UpstreamClient.Connections.FRESH,
			UpstreamClient.Answers.FRAMED_OR_CLOSED);

	private ScriptedServer server;

	@AfterEach
	void close() throws IOException {
		this.client.close();
		this.loop.close();
		this.server.close();
	}

	private void serve(Script script) throws IOException {
		this.server = new ScriptedServer(script);
	}

	private void answerWith(String answer) throws IOException {
		serve((connection) -> {
			if (connection.nextPath() != null) {
				connection.write(answer);
				connection.nextPath();
			}
		});
	}

	private Seen call(String method, byte[] body) throws Exception {
		return call(new UpstreamRequest(method, this.server.url() + "/a", Map.of(), body));
	}

	private Seen call(UpstreamRequest request) throws Exception {
		Seen seen = new Seen();
		this.loop.run(() -> this.client.send(request, seen));
		seen.over.get(CALL_MILLIS, TimeUnit.MILLISECONDS);
		TimeUnit.MILLISECONDS.sleep(SHORT_MILLIS);
		return seen;
	}

	private Seen get() throws Exception {
		return call("GET", new byte[0]);
	}

	@Test
	void targetsAreNotRewritten() throws Exception {
		List<String> received = new CopyOnWriteArrayList<>();
		serve((connection) -> {
			received.add(connection.nextPath());
			connection.write(ScriptedServer.answer(200, "own"));
		});
		List<String> targets = List.of("*", "/", "/?", "/a?", "//", "//a", "/a/../b", "/a/.", "/%2e%2E/%c3%a9",
				"/a;b?c;d", "http://other/a/../b?c", "/a?b=http://c/../d");
		for (String target : targets) {
			call(new UpstreamRequest("POST", this.server.url(), target, Map.of(), new byte[0]));
		}
		assertThat(received).isEqualTo(targets);
	}

	@Test
	void targetsOfUrlsAreNotRewritten() throws Exception {
		List<String> received = new CopyOnWriteArrayList<>();
		serve((connection) -> {
			received.add(connection.nextPath());
			connection.write(ScriptedServer.answer(200, "own"));
		});
		for (String target : List.of("", "/a/../b?c", "/a?", "//a/./")) {
			call(new UpstreamRequest("GET", this.server.url() + target, Map.of(), new byte[0]));
		}
		assertThat(received).containsExactly("/", "/a/../b?c", "/a?", "//a/./");
	}

	@Test
	void noConnectionIsUsedAgainThoughServersKeepThem() throws Exception {
		answerWith(ScriptedServer.answer(200, "own"));
		for (int i = 1; i <= 3; i++) {
			assertThat(get().events).containsExactly("head 200", "end");
			assertThat(this.server.connections()).isEqualTo(i);
		}
	}

	@Test
	void aSecondAnswerInTheSameSegmentIsNobodys() throws Exception {
		answerWith(ScriptedServer.answer(200, "own") + SURPLUS);
		Seen seen = get();
		assertThat(seen.events).containsExactly("head 200", "end");
		assertThat(seen.body()).isEqualTo("own");
	}

	@Test
	void aLateSecondAnswerIsNobodys() throws Exception {
		serve((connection) -> {
			connection.nextPath();
			connection.write(ScriptedServer.answer(200, "own"));
			TimeUnit.MILLISECONDS.sleep(SHORT_MILLIS / 2);
			connection.write(SURPLUS);
		});
		for (int i = 0; i < 3; i++) {
			Seen seen = get();
			assertThat(seen.events).containsExactly("head 200", "end");
			assertThat(seen.body()).isEqualTo("own");
		}
	}

	@Test
	void theLateAnswerToACancelledCallIsNobodys() throws Exception {
		serve((connection) -> {
			connection.nextPath();
			TimeUnit.MILLISECONDS.sleep((connection.number() == 1) ? SHORT_MILLIS : 0);
			connection.write(ScriptedServer.answer(200, (connection.number() == 1) ? "old" : "own"));
		});
		Seen cancelled = new Seen();
		UpstreamRequest request = new UpstreamRequest("GET", this.server.url() + "/a", Map.of(), new byte[0]);
		CompletableFuture<UpstreamCall> sent = new CompletableFuture<>();
		this.loop.run(() -> sent.complete(this.client.send(request, cancelled)));
		TimeUnit.MILLISECONDS.sleep(SHORT_MILLIS / 2);
		this.loop.run(sent.get()::cancel);
		assertThat(get().body()).isEqualTo("own");
		assertThat(cancelled.events).isEmpty();
	}

	/**
	 * A server that sent hints before its answer had the hints passed on as the answer:
	 * status 103, no body, complete; its real answer went to nobody. The library takes
	 * only status 100 for provisional; seen over a real socket as "head 103, end".
	 */
	@Test
	void aProvisionalAnswerIsNotTheAnswer() throws Exception {
		answerWith("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + ScriptedServer.answer(200, "own"));
		Seen seen = get();
		assertThat(seen.events).containsExactly("head 200", "end");
		assertThat(seen.body()).isEqualTo("own");
	}

	@Test
	void aProvisionalAnswerThatNobodyAskedForIsNotTheAnswer() throws Exception {
		answerWith("HTTP/1.1 100 Continue\r\n\r\n" + ScriptedServer.answer(200, "own"));
		Seen seen = get();
		assertThat(seen.events).containsExactly("head 200", "end");
		assertThat(seen.body()).isEqualTo("own");
	}

	@Test
	void aProvisionalAnswerThatNobodyAskedForDoesNotSendTheBodyAgain() throws Exception {
		StringBuilder received = new StringBuilder();
		serve((connection) -> {
			connection.nextPath();
			connection.write("HTTP/1.1 100 Continue\r\n\r\n");
			connection.socket().setSoTimeout((int) SHORT_MILLIS);
			received.append(connection.readUntilSilent());
			connection.write(ScriptedServer.answer(200, "own"));
			connection.nextPath();
		});
		Seen seen = call("POST", "a body".getBytes(StandardCharsets.UTF_8));
		assertThat(received.toString()).isEqualTo("a body");
		assertThat(seen.body()).isEqualTo("own");
	}

	@Test
	void anAnswerToHeadAfterAProvisionalOneHasNoBody() throws Exception {
		answerWith("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + SURPLUS);
		Seen seen = call("HEAD", new byte[0]);
		assertThat(seen.events).containsExactly("head 200", "end");
		assertThat(seen.body()).isEmpty();
	}

	@Test
	void interimResponsesWithoutEndAreAFailure() throws Exception {
		answerWithoutEnd("", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n");
		assertThat(get().events).containsExactly("failure");
	}

	@Test
	void theHeadOfAProvisionalAnswerWithoutEndIsAFailure() throws Exception {
		answerWithoutEnd("HTTP/1.1 103 Early Hints\r\n", "Link: </a>\r\n".repeat(100));
		assertThat(get().events).containsExactly("failure");
	}

	private void answerWithoutEnd(String start, String more) throws IOException {
		serve((connection) -> {
			if (connection.nextPath() != null) {
				connection.write(start);
				while (true) {
					connection.write(more);
				}
			}
		});
	}

	@Test
	void anAnswerWithTwoLengthsIsAFailure() throws Exception {
		answerWith("HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 12\r\n\r\nownanother's");
		assertThat(get().events).doesNotContain("end").endsWith("failure");
	}

	@Test
	void anAnswerBeforeTheBodyWasReadIsTheAnswer() throws Exception {
		serve((connection) -> {
			connection.nextPath();
			connection.write(ScriptedServer.answer(413, "own"));
			connection.nextPath();
		});
		Seen seen = call("POST", new byte[4 << 20]);
		assertThat(seen.events).startsWith("head 413");
		assertThat(seen.body()).isEqualTo("own");
	}

	@Test
	void anAnswerToHeadHasNoBody() throws Exception {
		answerWith(SURPLUS);
		Seen seen = call("HEAD", new byte[0]);
		assertThat(seen.events).containsExactly("head 200", "end");
		assertThat(seen.body()).isEmpty();
	}

	@Test
	void anAnswerWithoutContentHasNoBody() throws Exception {
		answerWith("HTTP/1.1 204 No Content\r\nContent-Length: 9\r\n\r\nanother's");
		Seen seen = get();
		assertThat(seen.events).containsExactly("head 204", "end");
		assertThat(seen.body()).isEmpty();
	}

	@Test
	void anAnswerThatBreaksOffIsAFailure() throws Exception {
		serve((connection) -> {
			connection.nextPath();
			connection.write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nown");
		});
		assertThat(get().events).containsExactly("head 200", "failure");
	}

	private static final class Seen implements UpstreamListener {

		private final List<String> events = new ArrayList<>();

		private final ByteArrayOutputStream body = new ByteArrayOutputStream();

		private final CompletableFuture<Void> over = new CompletableFuture<>();

		private String body() {
			return this.body.toString(StandardCharsets.UTF_8);
		}

		@Override
		public void onHead(int status, Map<String, String> headers) {
			this.events.add("head " + status);
		}

		@Override
		public void onBytes(byte[] bytes) {
			this.body.writeBytes(bytes);
		}

		@Override
		public void onEnd() {
			this.events.add("end");
			this.over.complete(null);
		}

		@Override
		public void onFailure(boolean maybeSent, Throwable cause) {
			this.events.add("failure");
			this.over.complete(null);
		}

	}

}
