package org.snowwind.store;

import java.util.ArrayList;
import java.util.List;

import org.snowwind.model.EraRevision;

/**
 * The unanswered calls of a watch. Confined to one thread.
 */
final class OpenCalls {

	private final List<Call> calls = new ArrayList<>();

	/**
	 * Adds a call.
	 * @param call the call
	 */
	void add(Call call) {
		this.calls.add(call);
	}

	/**
	 * Removes a call that has ended.
	 * @param call the call
	 * @return false if it was dropped before
	 */
	boolean remove(Call call) {
		return this.calls.remove(call);
	}

	/**
	 * Returns whether a call waits for a change.
	 * @return true if one does
	 */
	boolean isWaiting() {
		return this.calls.stream().anyMatch(Call::waits);
	}

	/**
	 * Counts the calls that do not wait for a change.
	 * @return a number of calls
	 */
	long inquiries() {
		return this.calls.stream().filter((call) -> !call.waits()).count();
	}

	/**
	 * Drops calls that have been open for too long.
	 * @param nowMillis the time, in milliseconds
	 */
	void dropLate(long nowMillis) {
		this.calls.removeIf((call) -> nowMillis - call.sentMillis() > call.mostMillis());
	}

	/**
	 * Drops calls that should have returned a change and did not.
	 * @param revision the revision of the change
	 * @param learntMillis when another call returned it, in milliseconds
	 */
	void dropSilent(EraRevision revision, long learntMillis) {
		this.calls.removeIf((call) -> call.waits() && revision.isNewerThan(call.afterRevision())
				&& call.sentMillis() < learntMillis);
	}

	/**
	 * Drops calls that wait for changes after a revision of an earlier era, which may
	 * never be answered.
	 * @param era the era of the store
	 */
	void dropWaitsOfEarlierEras(long era) {
		this.calls.removeIf((call) -> call.waits() && call.afterRevision().era() < era);
	}

	/**
	 * A call.
	 *
	 * @param number a unique number
	 * @param sentMillis when it was sent, in milliseconds
	 * @param mostMillis the maximum time that it may be open, in milliseconds
	 * @param afterRevision the revision after which changes are returned
	 * @param waits whether it waits for a change
	 */
	record Call(long number, long sentMillis, long mostMillis, EraRevision afterRevision, boolean waits) {

	}

}
