package org.snowwind.http.client;

import java.io.IOException;

/**
 * Thrown if a response has more bytes than its client accepts.
 */
public final class ResponseTooLargeException extends IOException {

	private static final long serialVersionUID = 1;

	/**
	 * Creates the exception.
	 * @param message the limit that was exceeded
	 */
	public ResponseTooLargeException(String message) {
		super(message);
	}

}
