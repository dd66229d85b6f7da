package org.snowwind.store;

import java.util.concurrent.CompletableFuture;

/**
 * Reads the platform's store without waiting for the answer, so that a second call can be
 * made while the first one is unanswered.
 *
 * <p>
 * Every failure is a value of the result: no future completes with an exception.
 */
public interface AsyncObjectStore {

	/**
	 * Begins to read all objects below a prefix.
	 * @param prefix the start of the keys
	 * @param timeoutMillis how long each call may take, in milliseconds
	 * @return the listing to come
	 */
	CompletableFuture<ListResult> startList(String prefix, long timeoutMillis);

	/**
	 * Begins to wait for changes below a prefix.
	 * @param prefix the start of the keys
	 * @param afterRevision changes after this revision are wanted
	 * @param waitMillis how long the store waits for one, in milliseconds
	 * @param timeoutMillis how long the whole call may take, in milliseconds
	 * @return the changes to come
	 */
	CompletableFuture<WatchResult> startWatch(String prefix, long afterRevision, long waitMillis, long timeoutMillis);

}
