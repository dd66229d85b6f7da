package org.snowwind.store;

/**
 * The timing of the calls of a {@link StoreWatch}.
 *
 * @param waitMillis how long the store waits for a change, in milliseconds
 * @param gatherMillis the delay of the next call after a change, in milliseconds, so that
 * several changes need only one call
 * @param schedule decides when an inquiry is made
 */
public record WatchPace(long waitMillis, long gatherMillis, ConfirmationSchedule schedule) {

}
