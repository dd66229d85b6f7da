package org.snowwind.gateway.request;

import java.util.ArrayList;
import java.util.List;

/**
 * Drops events that the caller already has if a continued stream starts before the
 * caller's position.
 *
 * <p>
 * Events are only dropped at the beginning of an attempt's stream. Once the stream has
 * passed the caller's position, every event is passed on, even if ids repeat or decrease.
 */
final class ReplayFilter {

	/** What a pending event takes beside its bytes, in bytes. */
	private static final int EVENT_OVERHEAD_BYTES = 64;

	private final String afterId;

	private boolean caughtUp;

	private String skippedId;

	/**
	 * Data without an id at the start of the stream. The next id determines whether it is
	 * new to the caller.
	 */
	private final List<StreamEvent> pending = new ArrayList<>();

	private int pendingBytes;

	/**
	 * Creates the filter for an attempt's stream.
	 * @param afterId id of the last event that the caller has; {@code null} for none
	 */
	ReplayFilter(String afterId) {
		this.afterId = afterId;
		this.caughtUp = afterId == null;
	}

	/**
	 * Filters the next event of the attempt.
	 * @param event the event
	 * @return the events that are to be delivered: this event and pending events before
	 * it, as far as the caller does not have them
	 */
	List<StreamEvent> filter(StreamEvent event) {
		if (this.caughtUp) {
			return List.of(event);
		}
		return (event.id() != null) ? filterWithId(event) : filterWithoutId(event);
	}

	private List<StreamEvent> filterWithId(StreamEvent event) {
		this.caughtUp = isAfter(event.id(), this.afterId);
		List<StreamEvent> newEvents = new ArrayList<>();
		if (this.caughtUp) {
			newEvents.addAll(this.pending);
			newEvents.add(event);
		}
		this.skippedId = this.caughtUp ? null : event.id();
		this.pending.clear();
		this.pendingBytes = 0;
		return newEvents;
	}

	// An event without an id belongs to the last event with an id: it is dropped if that
	// event precedes the caller's position.
	private List<StreamEvent> filterWithoutId(StreamEvent event) {
		if (this.skippedId != null) {
			return this.skippedId.equals(this.afterId) ? List.of(event) : List.of();
		}
		if (event.hasData()) {
			this.pending.add(event);
			this.pendingBytes += EVENT_OVERHEAD_BYTES + event.bytes().length;
			return List.of();
		}
		return List.of(event);
	}

	/**
	 * Releases the pending events.
	 */
	void discard() {
		this.pending.clear();
		this.pendingBytes = 0;
	}

	/**
	 * Returns how many bytes are held until the next id tells whether they are new.
	 * @return the number of bytes
	 */
	int pendingBytes() {
		return this.pendingBytes;
	}

	/**
	 * Returns whether the stream may not have reached the caller's position yet.
	 * @return true if the stream would be incomplete if it ended now
	 */
	boolean isBehind() {
		boolean beforePosition = this.skippedId != null && !this.skippedId.equals(this.afterId);
		return beforePosition || !this.pending.isEmpty();
	}

	/**
	 * Returns whether an id is a number. Numeric ids are ordered, so that a server that
	 * restarts the stream from the beginning is recognised.
	 * @param id an id
	 * @return true if the id is a number
	 */
	static boolean isNumeric(String id) {
		try {
			Long.parseLong(id);
			return true;
		}
		catch (NumberFormatException ex) {
			return false;
		}
	}

	/**
	 * Returns whether an id follows another.
	 * @param id an id
	 * @param last the id to compare it with
	 * @return true if its number is greater or, unless both ids are numbers, if the ids
	 * differ
	 */
	static boolean isAfter(String id, String last) {
		if (isNumeric(id) && isNumeric(last)) {
			return Long.parseLong(id) > Long.parseLong(last);
		}
		return !id.equals(last);
	}

}
