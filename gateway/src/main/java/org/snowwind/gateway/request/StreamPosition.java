package org.snowwind.gateway.request;

/**
 * How far a caller is in its stream. It belongs to the request and holds nothing of an
 * attempt. Confined to the loop.
 */
final class StreamPosition {

	private String lastId;

	private boolean known = true;

	private int events;

	private long bytes;

	/**
	 * Creates the position of a caller that was sent nothing yet.
	 * @param lastId the last event that the caller has, {@code null} for none
	 */
	StreamPosition(String lastId) {
		this.lastId = lastId;
	}

	/**
	 * Takes note that an event went to the caller.
	 * @param event the event
	 */
	void delivered(StreamEvent event) {
		this.events++;
		this.bytes += event.bytes().length;
		if (event.id() != null) {
			moveTo(event.id());
		}
		else if (event.data()) {
			this.known = false;
		}
	}

	// An id that went back names less than the caller has: a stream that went on after it
	// would repeat the rest.
	private void moveTo(String id) {
		if (this.lastId == null || CatchUp.isAfter(id, this.lastId)) {
			this.lastId = id;
			this.known = CatchUp.ordered(id);
		}
		else if (!id.equals(this.lastId)) {
			this.known = false;
		}
	}

	/**
	 * Returns where the stream can be continued.
	 * @return the furthest id that was delivered, {@code null} if there is none
	 */
	String lastId() {
		return this.lastId;
	}

	/**
	 * Tells whether the last id names all that the caller has. After data without an id,
	 * with one that went back or with one that has no order, a stream cannot be
	 * continued, for the next server could send that data once more.
	 * @return false if the caller has more than the last id says
	 */
	boolean known() {
		return this.known;
	}

	/**
	 * Counts delivered events.
	 * @return how many went to the caller
	 */
	int events() {
		return this.events;
	}

	/**
	 * Counts delivered bytes.
	 * @return how many went to the caller
	 */
	long bytes() {
		return this.bytes;
	}

}
