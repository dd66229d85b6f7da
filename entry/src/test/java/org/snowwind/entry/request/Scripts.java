package org.snowwind.entry.request;

import java.io.IOException;

import org.snowwind.model.AttemptHeaders;
import org.snowwind.standin.ScriptedPeer;

/**
 * What a scripted agent says.
 */
final class Scripts {

	/** A whole generated answer. */
	static final String GENERATED = "{\"index\":0}\n{\"index\":1}\n{\"done\":true,\"tokens\":2}\n";

	private Scripts() {
	}

	/** The head of an answer to a request, as an agent writes it. */
	static String head(ScriptedPeer.Request request, int status, String headers) {
		return "HTTP/1.1 " + status + " X\r\n" + AttemptHeaders.ATTEMPT + ": "
				+ request.headers().get(AttemptHeaders.ATTEMPT) + "\r\nX-Snowwind-Outcome: answered\r\n" + headers
				+ "\r\n";
	}

	/** A refusal of a request that did not run, as an agent writes it. */
	static String refusal(ScriptedPeer.Request request) {
		return "HTTP/1.1 503 X\r\n" + AttemptHeaders.ATTEMPT + ": " + request.headers().get(AttemptHeaders.ATTEMPT)
				+ "\r\nX-Snowwind-Outcome: not-run\r\n" + AttemptHeaders.REFUSAL
				+ ": overloaded\r\nContent-Length: 0\r\n\r\n";
	}

	/** The head of an answer that comes in chunks. */
	static String chunkedHead(ScriptedPeer.Request request) {
		return head(request, 200, "Transfer-Encoding: chunked\r\n");
	}

	/** A whole answer with its length. */
	static String whole(ScriptedPeer.Request request, int status, String headers, String body) {
		return head(request, status, headers + "Content-Length: " + body.length() + "\r\n") + body;
	}

	/** Answers each request on a connection with the same whole body. */
	static ScriptedPeer.Script always(String headers, String body) {
		return (connection) -> {
			for (var request = connection.request(); request != null; request = connection.request()) {
				connection.send(whole(request, 200, headers, body));
			}
		};
	}

	/** Answers one request with the same whole generated answer, in chunks. */
	static ScriptedPeer.Script generated() {
		return (connection) -> {
			connection.send(chunkedHead(connection.request()));
			generatedChunks(connection, GENERATED);
			connection.awaitClosed();
		};
	}

	static void generatedChunks(ScriptedPeer.Connection connection, String lines) throws IOException {
		connection.chunk(lines);
		connection.send("0\r\n\r\n");
	}

}
