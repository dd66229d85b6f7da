package org.snowwind.http.client.syntax;

import java.io.IOException;

/**
 * Reports a response that breaks the grammar of HTTP/1.1.
 */
public final class MalformedResponseException extends IOException {

	private static final long serialVersionUID = 1L;

	private static final int MAX_QUOTED_CHARS = 40;

	private final ResponseFault fault;

	/**
	 * Creates the exception.
	 * @param fault the broken rule
	 * @param message what was expected and what was received, without control characters
	 */
	public MalformedResponseException(ResponseFault fault, String message) {
		super("malformed response: " + message);
		this.fault = fault;
	}

	/**
	 * Creates the exception for a part of a line.
	 * @param fault the broken rule
	 * @param expected what was expected
	 * @param received what was received; quoted without control characters
	 * @return the exception
	 */
	static MalformedResponseException of(ResponseFault fault, String expected, String received) {
		StringBuilder quoted = new StringBuilder();
		received.chars().limit(MAX_QUOTED_CHARS).forEach((c) -> appendPrintable(quoted, c));
		String end = (received.length() > MAX_QUOTED_CHARS) ? "..." : "";
		return new MalformedResponseException(fault, "expected " + expected + ", got '" + quoted + end + "'");
	}

	private static void appendPrintable(StringBuilder text, int c) {
		if (c >= ' ' && c < 0x7f) {
			text.append((char) c);
		}
		else {
			text.append(String.format("\\x%02x", c));
		}
	}

	/**
	 * Returns the broken rule.
	 * @return the rule
	 */
	public ResponseFault fault() {
		return this.fault;
	}

}
