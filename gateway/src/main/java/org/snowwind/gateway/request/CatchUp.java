package org.snowwind.gateway.request;

import java.util.ArrayList;
import java.util.List;

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

	/** Data without an id that came first: the next id tells whether it is new. */
	private final List<StreamEvent> undecided = new ArrayList<>();

	/**
	 * Creates the beginning of an attempt's stream.
	 * @param afterId the last event that the caller has, {@code null} for none
	 */
	CatchUp(String afterId) {
		this.afterId = afterId;
		this.caughtUp = afterId == null;
	}

	/**
	 * Takes the next event of the attempt.
	 * @param event the event
	 * @return what the caller does not have, of this event and those before it
	 */
	List<StreamEvent> newOnes(StreamEvent event) {
		if (this.caughtUp) {
			return List.of(event);
		}
		return (event.id() != null) ? withId(event) : withoutId(event);
	}

	private List<StreamEvent> withId(StreamEvent event) {
		this.caughtUp = isAfter(event.id(), this.afterId);
		List<StreamEvent> newOnes = new ArrayList<>();
		if (this.caughtUp) {
			newOnes.addAll(this.undecided);
			newOnes.add(event);
		}
		this.skippedId = this.caughtUp ? null : event.id();
		this.undecided.clear();
		return newOnes;
	}

	// One without an id goes the way of the one before it.
	private List<StreamEvent> withoutId(StreamEvent event) {
		if (this.skippedId != null) {
			return this.skippedId.equals(this.afterId) ? List.of(event) : List.of();
		}
		if (event.data()) {
			this.undecided.add(event);
			return List.of();
		}
		return List.of(event);
	}

	/**
	 * Tells whether the attempt has not passed the caller's position for certain.
	 * @return true if the stream cannot be whole here
	 */
	boolean behind() {
		boolean beforePosition = this.skippedId != null && !this.skippedId.equals(this.afterId);
		return beforePosition || !this.undecided.isEmpty();
	}

	/**
	 * Tells whether ids have an order, by which a server that begins anew is recognised.
	 * @param id an id
	 * @return true if it is a number
	 */
	static boolean ordered(String id) {
		try {
			Long.parseLong(id);
			return true;
		}
		catch (NumberFormatException ex) {
			return false;
		}
	}

	/**
	 * Tells whether an id comes after another.
	 * @param id an id
	 * @param last the other
	 * @return true if its number is greater, or, without numbers, if it is another one
	 */
	static boolean isAfter(String id, String last) {
		if (ordered(id) && ordered(last)) {
			return Long.parseLong(id) > Long.parseLong(last);
		}
		return !id.equals(last);
	}

}
