package org.snowwind.gateway.stop;

/**
 * The requests that a stop waits for.
 */
public interface OpenRequests {

	/**
	 * Counts the open requests.
	 * @return how many there are
	 */
	int count();

	/**
	 * Takes no more requests if none is open, so that none comes between the count and
	 * the end.
	 * @return whether none is open, and none will be
	 */
	boolean closeIfNone();

	/**
	 * Ends each request that is still open: with a true answer where none has begun, and
	 * by breaking off an answer that has. Takes no more requests.
	 */
	void endAll();

}
