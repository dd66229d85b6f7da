package org.snowwind.store;

import org.snowwind.model.EraRevision;

/**
 * Is notified of objects and of the state of the store, on the watch's thread.
 */
public interface StoreListener {

	/**
	 * Called when all objects were listed.
	 * @param listing the objects
	 */
	void listed(ListResult.Listed listing);

	/**
	 * Called when objects have changed or the wait ended without a change.
	 * @param changes the changes
	 */
	void changed(WatchResult.Changes changes);

	/**
	 * Called when the store no longer has all changes. A listing follows.
	 * @param afterRevision the last known revision
	 */
	default void gap(EraRevision afterRevision) {
	}

	/**
	 * Called before {@link #listed} when the store was restored from an older copy since
	 * the last known revision. The listing may lack objects that are about to be written
	 * again, and contain objects as they were before they changed.
	 * @param before the last known revision
	 * @param now the revision of the listing
	 */
	default void restored(EraRevision before, EraRevision now) {
	}

	/**
	 * Called when the store stops answering.
	 * @param reason the reason, one line
	 */
	default void away(String reason) {
	}

	/**
	 * Called before the first changes after the copy was unconfirmed for too long. The
	 * store was unavailable, also if no call has failed and {@link #back} is not called.
	 */
	default void recovered() {
	}

	/**
	 * Called when the store answers again.
	 */
	default void back() {
	}

}
