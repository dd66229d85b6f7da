package org.snowwind.gateway.request;

import java.io.ByteArrayOutputStream;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import org.snowwind.http.server.HttpExchange;

/**
 * What one attempt has received of its answer: the head, and what is held of the body.
 *
 * <p>
 * The body of a plain answer is held until it is whole, so that another server can still
 * answer in full; of a stream, an unfinished event is held. The buffer is made with the
 * head of an attempt's answer and dropped with the attempt, so that nothing of it can
 * reach the answer of another server.
 */
final class AnswerBuffer {

	/** The HTTP status of success. */
	static final int OK = 200;

	private static final String LENGTH_HEADER = "content-length";

	private static final String TYPE_HEADER = "content-type";

	private final int status;

	private final Map<String, String> headers;

	private final EventStream events;

	private final ByteArrayOutputStream body = new ByteArrayOutputStream();

	private boolean whole;

	private AnswerBuffer(int status, Map<String, String> headers, EventStream events) {
		this.status = status;
		this.headers = Map.copyOf(headers);
		this.events = events;
	}

	/**
	 * Creates an answer that is held until it is whole.
	 * @param status the HTTP status
	 * @param headers the headers by lower-case name
	 * @return the answer, without a body
	 */
	static AnswerBuffer plain(int status, Map<String, String> headers) {
		return new AnswerBuffer(status, headers, null);
	}

	/**
	 * Creates a successful answer whose events are passed on as they arrive. Its length
	 * is not passed on: it frames what one server sends, and others may go on.
	 * @param headers the headers by lower-case name
	 * @param afterId the event after which the stream is continued, {@code null} if it
	 * begins
	 * @return the answer, without events
	 */
	static AnswerBuffer stream(Map<String, String> headers, String afterId) {
		Map<String, String> withoutLength = new HashMap<>(headers);
		withoutLength.remove(LENGTH_HEADER);
		return new AnswerBuffer(OK, withoutLength, new EventStream(afterId));
	}

	int status() {
		return this.status;
	}

	Map<String, String> headers() {
		return this.headers;
	}

	boolean stream() {
		return this.events != null;
	}

	/**
	 * Returns what kind of content the body is.
	 * @return the media type without parameters, empty if the answer does not say
	 */
	String mediaType() {
		return this.headers.getOrDefault(TYPE_HEADER, "").split(";", 2)[0].strip().toLowerCase(Locale.ROOT);
	}

	/**
	 * Takes bytes of the body.
	 * @param bytes the bytes
	 * @return the events that are whole now and that the caller does not have; none for a
	 * plain answer
	 */
	List<StreamEvent> take(byte[] bytes) {
		if (stream()) {
			return this.events.take(bytes);
		}
		this.body.writeBytes(bytes);
		return List.of();
	}

	/**
	 * Tells whether a stream would be broken if it ended here.
	 * @return true if it would, false for a plain answer
	 */
	boolean unfinished() {
		return stream() && this.events.unfinished();
	}

	/**
	 * Tells whether another answer began within a stream.
	 * @return true if it did, false for a plain answer
	 */
	boolean overrun() {
		return stream() && this.events.overrun();
	}

	/**
	 * Counts the bytes that are held because their event is not whole yet.
	 * @return a number of bytes, 0 for a plain answer
	 */
	int heldBytes() {
		return stream() ? this.events.heldBytes() : 0;
	}

	void complete() {
		this.whole = true;
	}

	/**
	 * Tells whether the answer can be given to the caller as it stands.
	 * @return true if it is whole
	 */
	boolean deliverable() {
		return this.whole && !stream();
	}

	void deliver(HttpExchange exchange) {
		exchange.respond(this.status, this.headers, this.body.toByteArray());
	}

}
