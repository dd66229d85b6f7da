package org.snowwind.gateway.request;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * The bytes of the incomplete event of a stream.
 */
final class EventBytes extends ByteArrayOutputStream {

	private static final int MAX_KEPT_BYTES = 4096;

	private int lineStart;

	/**
	 * Ends the current line.
	 * @return the line without its end, one character for each octet as in headers
	 */
	String endLine() {
		int end = this.count - 1;
		if (end > this.lineStart && this.buf[end - 1] == '\r') {
			end--;
		}
		String line = new String(this.buf, this.lineStart, end - this.lineStart, StandardCharsets.ISO_8859_1);
		this.lineStart = this.count;
		return line;
	}

	/**
	 * Ends the event. A large array is released, not kept for the next event.
	 * @return the bytes of the event
	 */
	byte[] endEvent() {
		byte[] event = toByteArray();
		reset();
		this.lineStart = 0;
		if (this.buf.length > MAX_KEPT_BYTES) {
			this.buf = new byte[MAX_KEPT_BYTES];
		}
		return event;
	}

	/**
	 * Releases the bytes of the event.
	 */
	void discard() {
		this.buf = new byte[0];
		this.count = 0;
		this.lineStart = 0;
	}

}
