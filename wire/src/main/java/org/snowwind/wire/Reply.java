package org.snowwind.wire;

/**
 * Takes the answer to a call, on the calls' thread.
 *
 * @param <T> the answer's type
 */
public interface Reply<T> {

	/**
	 * The answer has come.
	 * @param answer the answer
	 */
	void received(T answer);

	/**
	 * No answer came; the call may have had its effect.
	 * @param cause why
	 */
	void failed(Exception cause);

}
