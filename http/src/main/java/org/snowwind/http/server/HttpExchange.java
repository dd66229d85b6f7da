package org.snowwind.http.server;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * One request and its answer, confined to the server's loop.
 */
public interface HttpExchange {

	/**
	 * Returns the method.
	 * @return the method, upper case
	 */
	String method();

	/**
	 * Returns the path without its query.
	 * @return the raw path
	 */
	String path();

	/**
	 * Returns path and query as sent.
	 * @return the raw request target
	 */
	String target();

	/**
	 * Returns a header.
	 * @param name the name in any case
	 * @return the first value, or {@code null}
	 */
	String header(String name);

	/**
	 * Returns the headers that belong to the request itself and not to the connection.
	 * @return values by lower-case name
	 */
	Map<String, String> headers();

	/**
	 * Tells of the connection on which the request came.
	 * @return its age and what it carried before
	 */
	ConnectionUse connection();

	/**
	 * Reads the whole body.
	 * @param maxBytes the most that is taken, in bytes; a longer one is answered with 413
	 * @param whenRead gets the body
	 * @param whenRefused told instead if the body was answered with a 4xx
	 */
	void readBody(int maxBytes, Consumer<byte[]> whenRead, Runnable whenRefused);

	/**
	 * Reads the whole body where nobody needs to know of a refused one.
	 * @param maxBytes the most that is taken, in bytes; a longer one is answered with 413
	 * @param whenRead gets the body
	 */
	default void readBody(int maxBytes, Consumer<byte[]> whenRead) {
		readBody(maxBytes, whenRead, () -> {
		});
	}

	/**
	 * Begins a streamed answer.
	 * @param status the HTTP status
	 * @param headers further headers
	 */
	void begin(int status, Map<String, String> headers);

	/**
	 * Sends a part of a streamed answer.
	 * @param bytes the part
	 */
	void write(byte[] bytes);

	/**
	 * Ends a streamed answer cleanly.
	 */
	void end();

	/**
	 * Sends a whole answer.
	 * @param status the HTTP status
	 * @param headers further headers
	 * @param body the body
	 */
	void respond(int status, Map<String, String> headers, byte[] body);

	/**
	 * Sends a whole answer in blocks, each of which is released once the connection has
	 * taken it. They do not count as held for the caller.
	 * @param status the HTTP status
	 * @param headers further headers
	 * @param blocks the body
	 * @param progress told what the connection has taken
	 */
	void respond(int status, Map<String, String> headers, List<byte[]> blocks, SendProgress progress);

	/**
	 * Resets the connection, so that the caller sees that the answer is not whole and
	 * nothing of it is kept. Also resets an answer that has ended and was not taken yet.
	 */
	void reset();

	/**
	 * Closes the connection once the answer has been sent, and tells the caller so with
	 * {@code Connection: close}. Has no effect on an answer that has begun.
	 */
	void closeAfterAnswer();

	/**
	 * Breaks the connection, so that the caller sees that the answer is not whole.
	 */
	void abort();

	/**
	 * Tells whether the answer has begun.
	 * @return true if a status was sent
	 */
	boolean begun();

	/**
	 * Records what is held of a response that is not written yet, for the bound on the
	 * bytes that are held for all callers.
	 * @param responseBytes the number of bytes
	 */
	default void buffered(long responseBytes) {
	}

	/**
	 * Tells whether more may be read for the caller now.
	 * @return false while too much waits to be sent
	 */
	boolean writable();

	/**
	 * Asks to be told when {@link #writable()} changes.
	 * @param whenChanged called on the loop
	 */
	void onWritableChange(Runnable whenChanged);

	/**
	 * Asks to be told when the caller goes away before the answer has ended.
	 * @param whenGone called on the loop, once
	 */
	void onGone(Runnable whenGone);

}
