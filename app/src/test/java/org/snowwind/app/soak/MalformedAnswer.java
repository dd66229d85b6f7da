package org.snowwind.app.soak;

import java.nio.charset.StandardCharsets;

import org.snowwind.platform.standin.AnswerHead;

/**
 * Answers of a server in trouble that are not valid HTTP, with a signature and content of
 * their own.
 */
enum MalformedAnswer implements FaultyAnswer {

	/** A status code of zeros. */
	STATUS_ZERO("HTTP/1.1 000 OK\r\n{fields}{length}"),

	/** A status code with a zero before it. */
	STATUS_FOUR_DIGITS("HTTP/1.1 0200 OK\r\n{fields}{length}"),

	/** A status code of no class. */
	STATUS_TOO_HIGH("HTTP/1.1 600 OK\r\n{fields}{length}"),

	/** Another version of HTTP. */
	VERSION("HTTP/9.9 200 OK\r\n{fields}{length}"),

	/** A reason phrase with a control character. */
	REASON("HTTP/1.1 200 O\0K\r\n{fields}{length}"),

	/** A field name with a blank. */
	NAME_WITH_BLANK("HTTP/1.1 200 OK\r\n{fields}X Bad: v\r\n{length}"),

	/** A field name with a blank behind it. */
	NAME_BEFORE_BLANK("HTTP/1.1 200 OK\r\n{fields}X-Bad : v\r\n{length}"),

	/** A field name with a control character. */
	NAME_WITH_CONTROL("HTTP/1.1 200 OK\r\n{fields}X-\u0001Bad: v\r\n{length}"),

	/** A field value with a control character. */
	VALUE_WITH_CONTROL("HTTP/1.1 200 OK\r\n{fields}X-Bad: \0\r\n{length}"),

	/** A length whose name has a blank. */
	LENGTH_NAME("HTTP/1.1 200 OK\r\n{fields}Content Length: 5\r\n\r\n{content}"),

	/** An unknown transfer coding. */
	CODING("HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: xchunked\r\n\r\n{chunk}0\r\n\r\n"),

	/** Two sizes of a chunk. */
	CHUNK_SIZE("HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n9 9\r\nmalformed\r\n0\r\n\r\n"),

	/** An interim answer that is not valid before one that is. */
	INTERIM("HTTP/1.1 103 X\r\nX Bad: v\r\n\r\nHTTP/1.1 200 OK\r\n{fields}{length}");

	/** The content of each answer. */
	static final String CONTENT = "malformed";

	private final String text;

	MalformedAnswer(String text) {
		this.text = text;
	}

	@Override
	public byte[] start(String requestId, String signature, boolean stream) {
		String head = AnswerHead.signed(requestId, signature, stream ? "text/event-stream" : "text/plain");
		return this.text.replace("{fields}", head.substring(head.indexOf('\n') + 1))
			.replace("{length}", "Content-Length: " + CONTENT.length() + "\r\n\r\n" + CONTENT)
			.replace("{chunk}", Integer.toHexString(CONTENT.length()) + "\r\n" + CONTENT + "\r\n")
			.replace("{content}", CONTENT)
			.getBytes(StandardCharsets.ISO_8859_1);
	}

	@Override
	public byte[] repeated() {
		return new byte[0];
	}

}
