package org.snowwind.http.server;

/**
 * Is told how much of a whole answer the connection has taken. Called on the loop.
 */
public interface SendProgress {

	/**
	 * Records that the connection has taken a block, which is released.
	 * @param bytes the size of the block, in bytes
	 */
	void taken(int bytes);

	/**
	 * Records that nothing of the answer is held any more: all was taken, or the
	 * connection is closed. Called once.
	 */
	void ended();

}
