package org.snowwind.store;

import java.util.concurrent.CompletableFuture;

import org.snowwind.model.EraRevision;

/**
 * Asynchronous reads of the platform's store. Several calls can be open at the same time.
 *
 * <p>
 * Failures are results; no future completes exceptionally.
 */
public interface AsyncObjectStore {

	/**
	 * Starts to read all objects with a key prefix.
	 * @param prefix the key prefix
	 * @param timeoutMillis the timeout of each call, in milliseconds
	 * @return the future listing
	 */
	CompletableFuture<ListResult> startList(String prefix, long timeoutMillis);

	/**
	 * Starts to wait for changes of objects with a key prefix.
	 * @param prefix the key prefix
	 * @param afterRevision the revision after which changes are returned
	 * @param waitMillis how long the store waits for a change, in milliseconds
	 * @param timeoutMillis the timeout of the whole call, in milliseconds
	 * @return the future changes
	 */
	CompletableFuture<WatchResult> startWatch(String prefix, EraRevision afterRevision, long waitMillis,
			long timeoutMillis);

}
