package org.snowwind.http.client;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.snowwind.http.DataLoop;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for responses of which a server sends only the first bytes. Such a call fails,
 * wherever the response is cut.
 */
class CutResponseHeadTests {

	private static final long CALL_MILLIS = 5000;

	private static final long SILENT_MILLIS = 200;

	private static final String STATUS = "HTTP/1.1 200 OK\r\n";

	private static final String UNFRAMED_HEAD = STATUS + "Server: scripted\r\n\r\n";

	private static final String BODY = "twenty-three bytes long";

	/** Responses whose end is marked, so that no beginning of them is complete. */
	private static final List<String> FRAMED = List.of(
			STATUS + "Server: scripted\r\nContent-Length: 23\r\nDate: today\r\n\r\n" + BODY,
			STATUS + "Transfer-Encoding: chunked\r\nServer: scripted\r\n\r\n17\r\n" + BODY + "\r\n0\r\n\r\n",
			STATUS + "Transfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n17\r\n" + BODY
					+ "\r\n0\r\nSum: 1\r\nOther: 2\r\n\r\n",
			STATUS + "Server: a\r\n folded\r\n\tagain\r\nContent-Length: 23\r\n\r\n" + BODY,
			"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\nContent-Length: 5\r\n\r\n" + STATUS
					+ "Content-Length: 23\r\n\r\n" + BODY,
			"HTTP/1.0 200 OK\r\nContent-Length: 23\r\n\r\n" + BODY, STATUS + "Content-Length: 0\r\n\r\n");

	/** Responses that are not valid, so that no part of them is accepted. */
	private static final List<String> NOT_VALID = List.of(
			"HTTP/1.1 200 OK\nServer: scripted\nContent-Length: 23\n\n" + BODY,
			STATUS + "Content-Length:\r\n 23\r\n\r\n" + BODY,
			STATUS + "Transfer-Encoding:\r\n chunked\r\n\r\n17\r\n" + BODY + "\r\n0\r\n\r\n");

	private final DataLoop loop = new DataLoop("test");

	private UpstreamClient client;

	private ScriptedServer server;

	@AfterEach
	void close() throws IOException {
		this.client.close();
		this.loop.close();
		this.server.close();
	}

	private void open(UpstreamClient.Connections connections, UpstreamClient.Answers answers, String response,
			CutEnd end) throws IOException {
		this.client = new UpstreamClient(this.loop, CALL_MILLIS, connections, answers);
		this.server = new ScriptedServer((connection) -> {
			String path = connection.nextPath();
			while ("/whole".equals(path)) {
				connection.write(ScriptedServer.answer(200, "whole"));
				path = connection.nextPath();
			}
			if (path != null) {
				connection.write(response.substring(0, Integer.parseInt(path.substring(1))));
				end.apply(connection);
			}
		});
	}

	private void closeBoth() throws IOException {
		this.client.close();
		this.server.close();
	}

	private Call send(String path) {
		Call call = new Call();
		UpstreamRequest request = new UpstreamRequest("GET", this.server.url() + path, Map.of(), new byte[0]);
		this.loop.run(() -> this.client.send(request, call));
		return call;
	}

	private static String endOf(Call call) throws Exception {
		return call.ended.get(CALL_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void assertCutsFail(String response, int from, int until) throws Exception {
		for (int length = from; length < until; length++) {
			assertThat(endOf(send("/" + length))).as(response.substring(0, length)).startsWith("failure");
		}
	}

	// ---- connections of their own

	@Test
	void framedResponseCutAtAnyByteAndClosedFails() throws Exception {
		for (String response : FRAMED) {
			open(UpstreamClient.Connections.FRESH, UpstreamClient.Answers.FRAMED_OR_CLOSED, response, CutEnd.CLOSE);
			assertThat(endOf(send("/" + response.length()))).as(response).isEqualTo("end");
			assertCutsFail(response, 0, response.length());
			closeBoth();
		}
	}

	@Test
	void framedResponseCutAtAnyByteAndResetFails() throws Exception {
		for (String response : FRAMED) {
			open(UpstreamClient.Connections.FRESH, UpstreamClient.Answers.FRAMED_OR_CLOSED, response, CutEnd.RESET);
			assertCutsFail(response, 0, response.length());
			closeBoth();
		}
	}

	@Test
	void framedResponseCutAtAnyByteAndLeftOpenDoesNotEnd() throws Exception {
		for (String response : FRAMED) {
			Semaphore written = new Semaphore(0);
			open(UpstreamClient.Connections.FRESH, UpstreamClient.Answers.FRAMED_OR_CLOSED, response, (connection) -> {
				written.release();
				connection.nextPath();
			});
			List<Call> calls = new ArrayList<>();
			for (int length = 0; length < response.length(); length++) {
				calls.add(send("/" + length));
				assertThat(written.tryAcquire(CALL_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
			}
			TimeUnit.MILLISECONDS.sleep(SILENT_MILLIS);
			assertThat(calls).noneMatch((call) -> call.ended.isDone());
			closeBoth();
		}
	}

	@Test
	void responseWithBareLineFeedsOrFoldedFramingFailsWhereverItIsCut() throws Exception {
		for (String response : NOT_VALID) {
			open(UpstreamClient.Connections.FRESH, UpstreamClient.Answers.FRAMED_OR_CLOSED, response, CutEnd.CLOSE);
			assertCutsFail(response, 0, response.length() + 1);
			closeBoth();
		}
	}

	@Test
	void unframedResponseCutWithinItsHeadFails() throws Exception {
		open(UpstreamClient.Connections.FRESH, UpstreamClient.Answers.FRAMED_OR_CLOSED, UNFRAMED_HEAD + BODY,
				CutEnd.CLOSE);
		assertCutsFail(UNFRAMED_HEAD + BODY, 0, UNFRAMED_HEAD.length());
	}

	@Test
	void unframedResponseCutAtAnyByteAndResetFails() throws Exception {
		String response = UNFRAMED_HEAD + BODY;
		open(UpstreamClient.Connections.FRESH, UpstreamClient.Answers.FRAMED_OR_CLOSED, response, CutEnd.RESET);
		assertCutsFail(response, 0, response.length() + 1);
	}

	/** A server that stops after its head looks the same as one that has no content. */
	@Test
	void unframedResponseClosedAfterItsHeadFails() throws Exception {
		open(UpstreamClient.Connections.FRESH, UpstreamClient.Answers.FRAMED_OR_CLOSED, UNFRAMED_HEAD, CutEnd.CLOSE);
		assertThat(endOf(send("/" + UNFRAMED_HEAD.length()))).startsWith("failure");
	}

	// ---- second response on a connection

	private void assertSecondResponsesFail(CutEnd end) throws Exception {
		for (String response : FRAMED.subList(2, 5)) {
			open(UpstreamClient.Connections.KEPT, UpstreamClient.Answers.FRAMED, response, end);
			for (int length = 0; length < response.length(); length++) {
				assertThat(endOf(send("/whole"))).isEqualTo("end");
				assertCutsFail(response, length, length + 1);
			}
			assertThat(this.server.connections()).as("connections").isEqualTo(response.length());
			closeBoth();
		}
	}

	@Test
	void secondResponseOnAConnectionCutAtAnyByteAndClosedFails() throws Exception {
		assertSecondResponsesFail(CutEnd.CLOSE);
	}

	@Test
	void secondResponseOnAConnectionCutAtAnyByteAndResetFails() throws Exception {
		assertSecondResponsesFail(CutEnd.RESET);
	}

	@Test
	void unframedSecondResponseOnAConnectionFailsWhereverItIsCut() throws Exception {
		String response = UNFRAMED_HEAD + BODY;
		open(UpstreamClient.Connections.KEPT, UpstreamClient.Answers.FRAMED, response, CutEnd.CLOSE);
		for (int length = 0; length <= response.length(); length++) {
			assertThat(endOf(send("/whole"))).isEqualTo("end");
			assertCutsFail(response, length, length + 1);
		}
	}

	/**
	 * What a server does after the first bytes of a response.
	 */
	@FunctionalInterface
	private interface CutEnd {

		CutEnd CLOSE = (connection) -> connection.socket().close();

		CutEnd RESET = (connection) -> {
			connection.socket().setSoLinger(true, 0);
			connection.socket().close();
		};

		void apply(ScriptedServer.Connection connection) throws IOException;

	}

	private static final class Call implements UpstreamListener {

		private final CompletableFuture<String> ended = new CompletableFuture<>();

		@Override
		public void onHead(int status, Map<String, String> headers) {
			// The head alone says nothing about the end.
		}

		@Override
		public void onBytes(byte[] bytes) {
			// Neither do bytes.
		}

		@Override
		public void onEnd() {
			this.ended.complete("end");
		}

		@Override
		public void onFailure(boolean maybeSent, Throwable cause) {
			this.ended.complete("failure: " + cause);
		}

	}

}
