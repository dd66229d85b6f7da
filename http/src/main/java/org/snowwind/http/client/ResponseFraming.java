package org.snowwind.http.client;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * How the end of a response is marked on the wire.
 */
public enum ResponseFraming {

	/** The response has no body. */
	NO_BODY,

	/** The body has a last chunk. */
	CHUNKED,

	/** The body has a length. */
	LENGTH,

	/** The body ends with its connection, as it also does if the server crashes. */
	CONNECTION_END;

	private static final String HEAD = "HEAD";

	private static final int NO_CONTENT = 204;

	private static final int NOT_MODIFIED = 304;

	/**
	 * Reads the framing of a response.
	 * @param method the method of the request
	 * @param status the HTTP status
	 * @param headers all headers of the response, also those of the connection
	 * @return how its end is marked
	 */
	static ResponseFraming of(String method, int status, HttpHeaders headers) {
		if (HEAD.equals(method) || status == NO_CONTENT || status == NOT_MODIFIED) {
			return NO_BODY;
		}
		if (headers.containsValue(HttpHeaderNames.TRANSFER_ENCODING, "chunked", true)) {
			return CHUNKED;
		}
		return headers.contains(HttpHeaderNames.CONTENT_LENGTH) ? LENGTH : CONNECTION_END;
	}

	/**
	 * Returns whether a complete response is certain to be the whole one.
	 * @return false if the response looks the same when its server crashes midway
	 */
	public boolean isDelimited() {
		return this != CONNECTION_END;
	}

}
