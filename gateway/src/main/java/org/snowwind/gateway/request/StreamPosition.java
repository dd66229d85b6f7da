package org.snowwind.gateway.request;

/**
 * The caller's position in its stream. It belongs to the request and holds no state of an
 * attempt. Confined to the event loop.
 */
final class StreamPosition {

	private String lastId;

	private boolean exact = true;

	private int events;

	private long bytes;

	/**
	 * Creates the position of a caller that was sent no event yet.
	 * @param lastId id of the last event that the caller has; {@code null} for none
	 */
	StreamPosition(String lastId) {
		this.lastId = lastId;
	}

	/**
	 * Records that an event was sent to the caller.
	 * @param event the event
	 */
	void recordDelivered(StreamEvent event) {
		this.events++;
		this.bytes += event.bytes().length;
		if (event.id() != null) {
			advanceTo(event.id());
		}
		else if (event.hasData()) {
			this.exact = false;
		}
	}

	// A decreasing id is not adopted: the caller has later events, which a stream that
	// continues after that id would repeat.
	private void advanceTo(String id) {
		if (this.lastId == null || ReplayFilter.isAfter(id, this.lastId)) {
			this.lastId = id;
			this.exact = ReplayFilter.isNumeric(id);
		}
		else if (!id.equals(this.lastId)) {
			this.exact = false;
		}
	}

	/**
	 * Returns the id after which the stream can be continued.
	 * @return the furthest id that the caller has; {@code null} if there is none
	 */
	String lastId() {
		return this.lastId;
	}

	/**
	 * Returns whether the last id covers exactly the data that the caller has. After data
	 * without an id, with a decreasing id or with a non-numeric id, the stream cannot be
	 * continued, because the next server could send that data again.
	 * @return false if the caller may have more data than the last id covers
	 */
	boolean isExact() {
		return this.exact;
	}

	/**
	 * Returns the number of delivered events.
	 * @return the events that were sent to the caller
	 */
	int events() {
		return this.events;
	}

	/**
	 * Returns the number of delivered bytes.
	 * @return the bytes that were sent to the caller
	 */
	long bytes() {
		return this.bytes;
	}

}
