package org.snowwind.http.client;

import java.util.function.Function;

/**
 * Is told how a sent request fares, on the loop, and nothing more after an end or
 * failure.
 */
public interface UpstreamListener {

	/**
	 * The status and headers have arrived.
	 * @param status the HTTP status
	 * @param headers gives a header's first value, or {@code null}
	 */
	void onHead(int status, Function<String, String> headers);

	/**
	 * A part of the body has arrived.
	 * @param bytes the part
	 */
	void onBytes(byte[] bytes);

	/**
	 * The whole answer has arrived, checked by its length or its last chunk.
	 */
	void onEnd();

	/**
	 * The exchange has failed.
	 * @param maybeSent false if surely no byte of the request has left this process
	 * @param cause why
	 */
	void onFailure(boolean maybeSent, Throwable cause);

}
