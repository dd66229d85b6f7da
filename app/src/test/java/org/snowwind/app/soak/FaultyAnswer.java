package org.snowwind.app.soak;

/**
 * What a server in trouble answers.
 */
interface FaultyAnswer {

	/**
	 * Returns how the answer begins.
	 * @param requestId the request's id
	 * @param signature the server's signature
	 * @param stream whether the answer says that it is a stream
	 * @return the bytes that come first
	 */
	byte[] start(String requestId, String signature, boolean stream);

	/**
	 * Returns what comes again and again.
	 * @return the bytes; empty if the connection is closed after the start
	 */
	byte[] repeated();

}
