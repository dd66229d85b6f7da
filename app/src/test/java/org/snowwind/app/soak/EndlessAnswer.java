package org.snowwind.app.soak;

import java.nio.charset.StandardCharsets;
import java.util.Map;

import org.snowwind.platform.standin.AnswerHead;
import org.snowwind.platform.standin.Answers;

/**
 * Where in an answer a server in trouble begins to send bytes without end, until its
 * caller closes the connection.
 */
enum EndlessAnswer implements FaultyAnswer {

	/** The reason in the status line. */
	STATUS_LINE("HTTP/1.1 200 ", "x".repeat(1000)),

	/** Empty lines before the status line. */
	EMPTY_LINES("", "\r\n".repeat(500)),

	/** Bytes that are no answer. */
	NO_HTTP("", "\u0001\u0007no answer \u00ff\u0000 ".repeat(50)),

	/** The value of one header. */
	HEADER("{start}X-Long: ", "y".repeat(1000)),

	/** Headers. */
	HEAD("{start}", "X-More: 1\r\n".repeat(100)),

	/** Provisional answers. */
	INTERIM("", "HTTP/1.1 102 Processing\r\n\r\n".repeat(40)),

	/** The headers of a provisional answer. */
	INTERIM_HEAD("HTTP/1.1 103 Early Hints\r\n", "Link: </a>\r\n".repeat(100)),

	/** Chunks of a body. */
	CHUNKS("{head}Transfer-Encoding: chunked\r\n\r\n", "3e8\r\n" + "c".repeat(1000) + "\r\n"),

	/** Chunks of one byte each. */
	SMALL_CHUNKS("{head}Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n".repeat(170)),

	/** Short extensions of chunks of one byte. */
	SHORT_EXTENSIONS("{head}Transfer-Encoding: chunked\r\n\r\n", "1;a=b\r\nx\r\n".repeat(100)),

	/** One chunk of two gigabytes. */
	CHUNK("{head}Transfer-Encoding: chunked\r\n\r\n7fffffff\r\n", "d".repeat(1000)),

	/** A body with a length of a terabyte. */
	LENGTH("{head}Content-Length: 1000000000000\r\n\r\n", "l".repeat(1000)),

	/** A body that ends with its connection. */
	UNFRAMED("{head}Connection: close\r\n\r\n", "u".repeat(1000)),

	/** The extension of a chunk. */
	EXTENSION("{head}Transfer-Encoding: chunked\r\n\r\n5;a=", "e".repeat(1000)),

	/** Trailers behind the last chunk. */
	TRAILERS("{head}Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n", "X-Trailer: 1\r\n".repeat(100)),

	/** One line of an event. */
	EVENT_LINE("{head}Transfer-Encoding: chunked\r\n\r\na\r\nid: 1\ndata\r\n", "3e8\r\n" + "v".repeat(1000) + "\r\n"),

	/** The lines of one event. */
	EVENT("{head}Transfer-Encoding: chunked\r\n\r\n6\r\nid: 1\n\r\n", "3f0\r\n" + "data: event\n".repeat(84) + "\r\n"),

	/** Comments of an event stream. */
	COMMENTS("{head}Transfer-Encoding: chunked\r\n\r\n", "3f0\r\n" + ": still here\n\n".repeat(72) + "\r\n"),

	/** Empty lines of an event stream. */
	EMPTY_EVENTS("{head}Transfer-Encoding: chunked\r\n\r\n", "3e8\r\n" + "\n".repeat(1000) + "\r\n"),

	/** Bytes behind a complete answer. */
	AFTER_ANSWER("{head}Content-Length: {length}\r\n\r\n{answer}", "a".repeat(1000));

	private static final Map<Boolean, String> TYPES = Map.of(true, "text/event-stream", false, "text/plain");

	private final String start;

	private final String repeated;

	EndlessAnswer(String start, String repeated) {
		this.start = start;
		this.repeated = repeated;
	}

	@Override
	public byte[] start(String requestId, String signature, boolean stream) {
		String whole = stream ? Answers.stream(requestId) : Answers.plain(requestId);
		return this.start.replace("{start}", AnswerHead.start(requestId))
			.replace("{head}", AnswerHead.signed(requestId, signature, TYPES.get(stream)))
			.replace("{length}", Integer.toString(whole.length()))
			.replace("{answer}", whole)
			.getBytes(StandardCharsets.ISO_8859_1);
	}

	@Override
	public byte[] repeated() {
		return this.repeated.getBytes(StandardCharsets.ISO_8859_1);
	}

}
