package org.snowwind.gateway.request;

import java.io.ByteArrayOutputStream;
import java.util.Map;

import org.snowwind.http.server.HttpExchange;

/**
 * An answer as far as it has arrived, held until it is whole.
 *
 * <p>
 * An answer that breaks off was never shown to the caller, so that another server can
 * still answer in full.
 */
final class AnswerBuffer {

	/** The HTTP status of success. */
	static final int OK = 200;

	private final int status;

	private final Map<String, String> headers;

	private final boolean stream;

	private final ByteArrayOutputStream body = new ByteArrayOutputStream();

	private boolean whole;

	/**
	 * Creates an answer without a body.
	 * @param status the HTTP status
	 * @param headers the headers by lower-case name
	 * @param stream whether its body is passed on as it arrives
	 */
	AnswerBuffer(int status, Map<String, String> headers, boolean stream) {
		this.status = status;
		this.headers = Map.copyOf(headers);
		this.stream = stream;
	}

	int status() {
		return this.status;
	}

	Map<String, String> headers() {
		return this.headers;
	}

	boolean stream() {
		return this.stream;
	}

	void add(byte[] bytes) {
		this.body.writeBytes(bytes);
	}

	void complete() {
		this.whole = true;
	}

	/**
	 * Tells whether the answer can be given to the caller as it stands.
	 * @return true if it is whole
	 */
	boolean deliverable() {
		return this.whole && !this.stream;
	}

	void deliver(HttpExchange exchange) {
		exchange.respond(this.status, this.headers, this.body.toByteArray());
	}

}
