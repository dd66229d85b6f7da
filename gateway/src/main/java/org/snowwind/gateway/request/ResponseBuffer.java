package org.snowwind.gateway.request;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import org.snowwind.http.server.HttpExchange;

/**
 * Buffers the response of one attempt: its head and the part of the body that was not
 * passed on yet.
 *
 * <p>
 * The body of a plain response is held until it is complete, so that another server can
 * still send the full response if this attempt fails. Of a stream, only an incomplete
 * event is held. The buffer is created with the response head of an attempt and discarded
 * with the attempt, so that none of its content can reach the response of another server.
 */
final class ResponseBuffer {

	/** HTTP status 200. */
	static final int OK = 200;

	private static final String LENGTH_HEADER = "content-length";

	private static final String TYPE_HEADER = "content-type";

	private final int status;

	private final Map<String, String> headers;

	private final EventStreamParser parser;

	private final AnswerBytes body = new AnswerBytes();

	private boolean complete;

	private ResponseBuffer(int status, Map<String, String> headers, EventStreamParser events) {
		this.status = status;
		this.headers = Map.copyOf(headers);
		this.parser = events;
	}

	/**
	 * Creates the buffer of a response that is held until it is complete.
	 * @param status the HTTP status
	 * @param headers the headers by lower-case name
	 * @return the buffer, with an empty body
	 */
	static ResponseBuffer ofPlainResponse(int status, Map<String, String> headers) {
		return new ResponseBuffer(status, headers, null);
	}

	/**
	 * Creates the buffer of a successful response whose events are passed on as they
	 * arrive. Its content length is dropped: it covers only the bytes of this server, and
	 * other servers may continue the stream.
	 * @param headers the headers by lower-case name
	 * @param afterId id of the event after which the stream continues; {@code null} to
	 * start at the beginning
	 * @return the buffer, without events
	 */
	static ResponseBuffer ofStream(Map<String, String> headers, String afterId) {
		Map<String, String> withoutLength = new HashMap<>(headers);
		withoutLength.remove(LENGTH_HEADER);
		return new ResponseBuffer(OK, withoutLength, new EventStreamParser(afterId));
	}

	int status() {
		return this.status;
	}

	Map<String, String> headers() {
		return this.headers;
	}

	boolean isStream() {
		return this.parser != null;
	}

	/**
	 * Returns the media type of the body.
	 * @return the media type in lower case without parameters; empty if the response has
	 * no content type
	 */
	String mediaType() {
		return this.headers.getOrDefault(TYPE_HEADER, "").split(";", 2)[0].strip().toLowerCase(Locale.ROOT);
	}

	/**
	 * Appends bytes of the body.
	 * @param bytes the bytes
	 * @return the events that are now complete and that the caller does not have yet;
	 * empty for a plain response
	 */
	List<StreamEvent> append(byte[] bytes) {
		if (isStream()) {
			return this.parser.parse(bytes);
		}
		this.body.append(bytes);
		return List.of();
	}

	/**
	 * Returns whether the stream would be incomplete if it ended now.
	 * @return true if it would be incomplete; always false for a plain response
	 */
	boolean isIncomplete() {
		return isStream() && this.parser.isIncomplete();
	}

	/**
	 * Returns whether the head of a second response was found within the stream.
	 * @return true if it was found; always false for a plain response
	 */
	boolean hasSecondResponse() {
		return isStream() && this.parser.hasSecondResponse();
	}

	/**
	 * Returns how many bytes of the body are held: all of a plain response, and of a
	 * stream those whose event is incomplete.
	 * @return the number of bytes
	 */
	int heldBytes() {
		return isStream() ? this.parser.heldBytes() : this.body.size();
	}

	/**
	 * Returns how many bytes of the body brought the caller nothing.
	 * @return the number of bytes so far; always 0 for a plain response
	 */
	long droppedBytes() {
		return isStream() ? this.parser.droppedBytes() : 0;
	}

	void markComplete() {
		this.complete = true;
	}

	/**
	 * Discards the body, which cannot be sent to the caller any more.
	 */
	void discard() {
		this.complete = false;
		this.body.clear();
		if (isStream()) {
			this.parser.discard();
		}
	}

	/**
	 * Returns whether the response can be sent to the caller from this buffer.
	 * @return true if it is a complete plain response
	 */
	boolean isDeliverable() {
		return this.complete && !isStream();
	}

	/**
	 * Sends the complete response to the caller.
	 * @param exchange the exchange to respond to
	 * @param memory counts what is held until the caller has taken it
	 * @param caller resets the caller's connection
	 */
	void deliver(HttpExchange exchange, AnswerMemory memory, AnswerMemory.Limit caller) {
		AnswerMemory.Sending sending = memory.send(this.body.size(), caller);
		exchange.respond(this.status, this.headers, this.body.take(), sending);
		sending.begun();
	}

}
