package org.snowwind.store;

import com.fasterxml.jackson.databind.JsonNode;
import org.snowwind.model.EraRevision;

/**
 * The part of the platform's object API that snowwind uses.
 *
 * <p>
 * Calls block and count against the platform's rate limit; a waiting watch counts once.
 * Failures are results, not exceptions.
 */
public interface ObjectStore {

	/**
	 * Reads all objects with a key prefix.
	 * @param prefix the key prefix
	 * @return the objects and the revision of the listing
	 */
	ListResult list(String prefix);

	/**
	 * Reads one object.
	 * @param key its key
	 * @return the object
	 */
	GetResult get(String key);

	/**
	 * Reads one object from a copy that may be seconds old, if the platform offers that
	 * at a lower price.
	 * @param key its key
	 * @return the object
	 */
	default GetResult getStale(String key) {
		return get(key);
	}

	/**
	 * Writes one object if it has not changed.
	 * @param key its key
	 * @param expectedRevision the revision of the object's last change;
	 * {@link EraRevision#NONE} if it must not exist
	 * @param value the new value
	 * @return the result of the write
	 */
	WriteResult put(String key, EraRevision expectedRevision, JsonNode value);

	/**
	 * Deletes one object if it has not changed.
	 * @param key its key
	 * @param expectedRevision the revision of the object's last change
	 * @return the result of the write
	 */
	WriteResult delete(String key, EraRevision expectedRevision);

	/**
	 * Waits for changes of objects with a key prefix.
	 * @param prefix the key prefix
	 * @param afterRevision the revision after which changes are returned
	 * @param waitMillis how long to wait for a change, in milliseconds
	 * @return the changes, empty if there was none during the wait
	 */
	WatchResult watch(String prefix, EraRevision afterRevision, long waitMillis);

	/**
	 * Ends all open calls, which may never be answered, as unanswered.
	 */
	default void giveUpCalls() {
		// A store that answers immediately has no open calls.
	}

}
