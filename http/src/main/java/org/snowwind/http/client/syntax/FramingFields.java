package org.snowwind.http.client.syntax;

import java.util.Locale;

/**
 * The fields of a head that say where the content ends (RFC 9112, section 6).
 */
final class FramingFields {

	/** The content has chunks. */
	static final long CHUNKED = -1;

	/** The content lasts until the connection is closed. */
	static final long UNTIL_CLOSE = -2;

	private boolean chunked;

	private String length = "";

	/**
	 * Adds a field line.
	 * @param line the line
	 */
	void add(LineBuffer line) {
		String text = line.text(0, line.length()).toLowerCase(Locale.ROOT);
		String value = text.substring(text.indexOf(':') + 1).strip();
		if (text.startsWith("transfer-encoding:")) {
			this.chunked |= value.contains("chunked");
		}
		else if (text.startsWith("content-length:")) {
			this.length = value;
		}
	}

	/**
	 * Returns how long the content is.
	 * @return the length in bytes, {@link #CHUNKED} or {@link #UNTIL_CLOSE}
	 */
	long contentBytes() {
		if (this.chunked) {
			return CHUNKED;
		}
		try {
			return Long.parseLong(this.length);
		}
		catch (NumberFormatException ex) {
			// The codec rejects the response.
			return UNTIL_CLOSE;
		}
	}

}
