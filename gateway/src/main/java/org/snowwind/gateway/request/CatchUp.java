package org.snowwind.gateway.request;

/**
 * Leaves out what the caller has where a stream that is continued begins earlier.
 *
 * <p>
 * Only the beginning of an attempt's stream is left out. Once it has passed the caller's
 * position all that the server sends is its answer, also ids that repeat or go backwards.
 */
final class CatchUp {

	private final String afterId;

	private boolean caughtUp;

	private String skippedId;

	/**
	 * Creates the beginning of an attempt's stream.
	 * @param afterId the last event that the caller has, {@code null} for none
	 */
	CatchUp(String afterId) {
		this.afterId = afterId;
		this.caughtUp = afterId == null;
	}

	/**
	 * Tells whether the caller does not have an event yet. One without an id goes the way
	 * of the one before it.
	 * @param event the next event of the attempt
	 * @return false if it is left out
	 */
	boolean isNew(StreamEvent event) {
		if (this.caughtUp) {
			return true;
		}
		if (event.id() == null) {
			return this.skippedId == null || this.skippedId.equals(this.afterId);
		}
		this.caughtUp = isAfter(event.id(), this.afterId);
		this.skippedId = this.caughtUp ? null : event.id();
		return this.caughtUp;
	}

	/**
	 * Tells whether the attempt began before the caller's position and has not reached
	 * it.
	 * @return true if the stream cannot be whole here
	 */
	boolean behind() {
		return this.skippedId != null && !this.skippedId.equals(this.afterId);
	}

	/**
	 * Tells whether an id comes after another.
	 * @param id an id
	 * @param last the other
	 * @return true if its number is greater, or, without numbers, if it is another one
	 */
	static boolean isAfter(String id, String last) {
		try {
			return Long.parseLong(id) > Long.parseLong(last);
		}
		catch (NumberFormatException ex) {
			return !id.equals(last);
		}
	}

}
