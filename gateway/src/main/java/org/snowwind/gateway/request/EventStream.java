package org.snowwind.gateway.request;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Cuts a stream into whole events and knows where it can be continued.
 *
 * <p>
 * Only whole events go to the caller, so that a stream that breaks off can be continued
 * at the next event without splicing. An event that was delivered before is left out.
 */
final class EventStream {

	private static final byte[] NOTHING = new byte[0];

	private static final byte LINE_FEED = '\n';

	private static final byte CARRIAGE_RETURN = '\r';

	private static final String ID_FIELD = "id:";

	private final ByteArrayOutputStream event = new ByteArrayOutputStream();

	private final ByteArrayOutputStream line = new ByteArrayOutputStream();

	private String eventId;

	private String lastId;

	private int events;

	/**
	 * Creates a tracker.
	 * @param lastId the last event that the caller has, {@code null} for none
	 */
	EventStream(String lastId) {
		this.lastId = lastId;
	}

	/**
	 * Takes bytes of the stream.
	 * @param bytes the bytes
	 * @return the whole events among them and those held before
	 */
	byte[] take(byte[] bytes) {
		ByteArrayOutputStream whole = null;
		for (byte next : bytes) {
			this.event.write(next);
			if (next != LINE_FEED) {
				this.line.write(next);
				continue;
			}
			if (endsEvent()) {
				whole = (whole != null) ? whole : new ByteArrayOutputStream();
				deliver(whole);
			}
		}
		return (whole != null) ? whole.toByteArray() : NOTHING;
	}

	private boolean endsEvent() {
		byte[] text = this.line.toByteArray();
		this.line.reset();
		int length = text.length;
		if (length > 0 && text[length - 1] == CARRIAGE_RETURN) {
			length--;
		}
		String field = new String(text, 0, Math.min(length, ID_FIELD.length()), StandardCharsets.UTF_8);
		if (ID_FIELD.equals(field)) {
			this.eventId = new String(text, ID_FIELD.length(), length - ID_FIELD.length(), StandardCharsets.UTF_8)
				.strip();
		}
		return length == 0;
	}

	private void deliver(ByteArrayOutputStream whole) {
		boolean seen = this.eventId != null && !after(this.eventId, this.lastId);
		if (!seen) {
			whole.writeBytes(this.event.toByteArray());
			this.events++;
			this.lastId = (this.eventId != null) ? this.eventId : this.lastId;
		}
		this.event.reset();
		this.eventId = null;
	}

	private static boolean after(String id, String last) {
		if (last == null) {
			return true;
		}
		try {
			return Long.parseLong(id) > Long.parseLong(last);
		}
		catch (NumberFormatException ex) {
			return !id.equals(last);
		}
	}

	/**
	 * Tells whether bytes are held that are no whole event.
	 * @return true if the stream would be torn if it ended here
	 */
	boolean torn() {
		return heldBytes() > 0;
	}

	/**
	 * Counts the bytes that are held because their event is not whole yet.
	 * @return a number of bytes
	 */
	int heldBytes() {
		return this.event.size();
	}

	/**
	 * Forgets a torn event, before the stream is continued elsewhere.
	 */
	void forgetTorn() {
		this.event.reset();
		this.line.reset();
		this.eventId = null;
	}

	/**
	 * Returns where the stream can be continued.
	 * @return the id of the last whole event, {@code null} if there is none
	 */
	String lastId() {
		return this.lastId;
	}

	/**
	 * Counts delivered events.
	 * @return how many went to the caller
	 */
	int events() {
		return this.events;
	}

}
