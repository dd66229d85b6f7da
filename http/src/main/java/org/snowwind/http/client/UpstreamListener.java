package org.snowwind.http.client;

import java.util.Map;

/**
 * Is told how a sent request fares, on the loop, and nothing more after an end or
 * failure.
 */
public interface UpstreamListener {

	/**
	 * The head has arrived. Called right before {@link #onHead}, whose headers no longer
	 * tell the framing.
	 * @param framing how the end of the answer is marked
	 */
	default void onFraming(ResponseFraming framing) {
	}

	/**
	 * The status and headers have arrived.
	 * @param status the HTTP status
	 * @param headers the headers that belong to the answer itself, by lower-case name
	 */
	void onHead(int status, Map<String, String> headers);

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
