package org.snowwind.store;

import java.util.function.BooleanSupplier;

/**
 * The timing of the calls of a {@link StoreWatch}.
 *
 * @param waitMillis how long the store waits for a change, in milliseconds
 * @param gatherMillis the delay of the next call after a change, in milliseconds, so that
 * several changes need only one call
 * @param schedule decides when an inquiry is made
 * @param waits whether a call waits for changes; a process without one learns of them
 * from its peers or by inquiries
 */
public record WatchPace(long waitMillis, long gatherMillis, ConfirmationSchedule schedule, BooleanSupplier waits) {

	/**
	 * Creates the timing of a watch that always has a call waiting for changes.
	 * @param waitMillis how long the store waits for a change, in milliseconds
	 * @param gatherMillis the delay of the next call after a change, in milliseconds
	 * @param schedule decides when an inquiry is made
	 */
	public WatchPace(long waitMillis, long gatherMillis, ConfirmationSchedule schedule) {
		this(waitMillis, gatherMillis, schedule, () -> true);
	}

}
