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
	 * Logs each request that is still open when the stop cuts it off.
	 */
	void logCutOff();

}
