package org.snowwind.gateway.request;

/**
 * A complete event of a stream.
 *
 * @param id the id of the event; {@code null} if it has none
 * @param hasData whether the event carries data, unlike a comment that keeps a connection
 * open
 * @param bytes the bytes of the event as the server sent them, including the terminating
 * blank line
 */
record StreamEvent(String id, boolean hasData, byte[] bytes) {

	/**
	 * Returns whether the event advances the stream.
	 * @return false for a comment
	 */
	boolean answers() {
		return this.hasData || this.id != null;
	}

}
