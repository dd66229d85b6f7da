package org.snowwind.gateway.request;

import java.util.ArrayList;
import java.util.List;

/**
 * Splits the stream of one attempt into complete events.
 *
 * <p>
 * Only complete events are sent to the caller, so that another server can continue a
 * broken stream at the next event without splicing. Each attempt has a parser of its own:
 * the bytes of an incomplete event are discarded with the attempt and need not be cleared
 * on any path that leads to the next attempt.
 */
final class EventStreamParser {

	private static final byte LINE_FEED = '\n';

	private static final int DELETE = 0x7f;

	private static final String ID_FIELD = "id:";

	/** The longest id at which a stream can be continued, in octets. */
	private static final int MAX_ID_LENGTH = 256;

	private static final String DATA_FIELD = "data";

	private static final String STATUS_LINE = "HTTP/1.";

	private final EventBytes event = new EventBytes();

	private final ReplayFilter replayFilter;

	private String eventId;

	private boolean hasData;

	private boolean secondResponse;

	/** The complete events, in bytes. */
	private long completeBytes;

	/** The events with data that the caller did not have, in bytes. */
	private long newBytes;

	/**
	 * Creates the parser for an attempt that has received nothing.
	 * @param afterId id of the event after which the stream continues; {@code null} to
	 * start at the beginning
	 */
	EventStreamParser(String afterId) {
		this.replayFilter = new ReplayFilter(afterId);
	}

	/**
	 * Parses the next bytes of the stream.
	 * @param bytes the bytes
	 * @return the events that are now complete, without those that the caller already has
	 */
	List<StreamEvent> parse(byte[] bytes) {
		List<StreamEvent> complete = new ArrayList<>();
		int start = 0;
		for (int i = 0; i < bytes.length && !this.secondResponse; i++) {
			if (bytes[i] == LINE_FEED) {
				this.event.write(bytes, start, i + 1 - start);
				start = i + 1;
				if (endsEvent()) {
					finishEvent(complete);
				}
			}
		}
		if (!this.secondResponse) {
			this.event.write(bytes, start, bytes.length - start);
		}
		return complete;
	}

	private boolean endsEvent() {
		String text = this.event.endLine();
		if (text.startsWith(ID_FIELD)) {
			String id = text.substring(ID_FIELD.length()).strip();
			this.eventId = canBeSent(id) ? id : null;
		}
		this.hasData = this.hasData || text.startsWith(DATA_FIELD);
		this.secondResponse = text.startsWith(STATUS_LINE);
		return text.isEmpty();
	}

	// An id is kept for the life of the stream and sent to other servers in a header.
	private static boolean canBeSent(String id) {
		return !id.isEmpty() && id.length() <= MAX_ID_LENGTH && id.chars().noneMatch(EventStreamParser::isControl);
	}

	// The octets from 0x80 on are parts of characters in UTF-8.
	private static boolean isControl(int octet) {
		return octet < ' ' || octet == DELETE;
	}

	private void finishEvent(List<StreamEvent> complete) {
		StreamEvent finished = new StreamEvent(this.eventId, this.hasData, this.event.endEvent());
		this.eventId = null;
		this.hasData = false;
		this.completeBytes += finished.bytes().length;
		for (StreamEvent event : this.replayFilter.filter(finished)) {
			this.newBytes += event.hasData() ? event.bytes().length : 0;
			complete.add(event);
		}
	}

	/**
	 * Releases what is held. Nothing more is parsed.
	 */
	void discard() {
		this.event.discard();
		this.replayFilter.discard();
	}

	/**
	 * Returns whether the head of a second response was found within the stream. A stream
	 * that is delimited only by the end of its connection has no other mark by which a
	 * second response of its server could be detected. The second response belongs to no
	 * request, so nothing after its status line is parsed.
	 * @return true once a line was the status line of another response
	 */
	boolean hasSecondResponse() {
		return this.secondResponse;
	}

	/**
	 * Returns whether the stream would be incomplete if it ended now.
	 * @return true within an event, or if the server may not have repeated all events
	 * that the caller has
	 */
	boolean isIncomplete() {
		return heldBytes() > 0 || this.replayFilter.isBehind();
	}

	/**
	 * Returns how much of the stream brought the caller nothing: events without data, and
	 * events that the caller already has.
	 * @return the number of bytes so far
	 */
	long droppedBytes() {
		return Math.max(0, this.completeBytes - this.newBytes - this.replayFilter.pendingBytes());
	}

	/**
	 * Returns how many bytes are held because their event is incomplete, or because it is
	 * not known yet whether the caller has it.
	 * @return the number of bytes
	 */
	int heldBytes() {
		return this.event.size() + this.replayFilter.pendingBytes();
	}

}
