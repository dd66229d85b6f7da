package org.snowwind.gateway.request;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Cuts the stream of one attempt into whole events.
 *
 * <p>
 * Only whole events go to the caller, so that a stream that breaks off can be continued
 * at the next event without splicing. What is held of an unfinished event is dropped with
 * the attempt: each has a stream of its own, so that no way to the next attempt can
 * forget to clear it.
 */
final class EventStream {

	private static final byte LINE_FEED = '\n';

	private static final byte CARRIAGE_RETURN = '\r';

	private static final String ID_FIELD = "id:";

	private static final String DATA_FIELD = "data";

	private static final String STATUS_LINE = "HTTP/1.";

	private final ByteArrayOutputStream event = new ByteArrayOutputStream();

	private final ByteArrayOutputStream line = new ByteArrayOutputStream();

	private final CatchUp catchUp;

	private String eventId;

	private boolean data;

	private boolean overrun;

	/**
	 * Creates the stream of an attempt that has received nothing.
	 * @param afterId the event after which the stream is continued, {@code null} if it
	 * begins
	 */
	EventStream(String afterId) {
		this.catchUp = new CatchUp(afterId);
	}

	/**
	 * Takes bytes of the stream.
	 * @param bytes the bytes
	 * @return the whole events among them and those held before, without what the caller
	 * has
	 */
	List<StreamEvent> take(byte[] bytes) {
		List<StreamEvent> whole = new ArrayList<>();
		for (byte next : bytes) {
			if (this.overrun) {
				break;
			}
			this.event.write(next);
			if (next != LINE_FEED) {
				this.line.write(next);
				continue;
			}
			if (endsEvent()) {
				finishEvent(whole);
			}
		}
		return whole;
	}

	private boolean endsEvent() {
		String text = this.line.toString(StandardCharsets.UTF_8);
		this.line.reset();
		if (!text.isEmpty() && text.charAt(text.length() - 1) == CARRIAGE_RETURN) {
			text = text.substring(0, text.length() - 1);
		}
		if (text.startsWith(ID_FIELD)) {
			String id = text.substring(ID_FIELD.length()).strip();
			this.eventId = id.isEmpty() ? null : id;
		}
		this.data = this.data || text.startsWith(DATA_FIELD);
		this.overrun = text.startsWith(STATUS_LINE);
		return text.isEmpty();
	}

	private void finishEvent(List<StreamEvent> whole) {
		StreamEvent finished = new StreamEvent(this.eventId, this.data, this.event.toByteArray());
		this.event.reset();
		this.eventId = null;
		this.data = false;
		whole.addAll(this.catchUp.newOnes(finished));
	}

	/**
	 * Tells whether another answer began within the stream. One that ends with its
	 * connection has no other end by which a second answer of its server could be told;
	 * that answer is nobody's, and nothing after its head is taken.
	 * @return true once a line was the first of another answer
	 */
	boolean overrun() {
		return this.overrun;
	}

	/**
	 * Tells whether the stream would be broken if it ended here.
	 * @return true within an event, or if the events that the caller has were not all
	 * repeated
	 */
	boolean unfinished() {
		return heldBytes() > 0 || this.catchUp.behind();
	}

	/**
	 * Counts the bytes that are held because their event is not whole yet.
	 * @return a number of bytes
	 */
	int heldBytes() {
		return this.event.size();
	}

}
