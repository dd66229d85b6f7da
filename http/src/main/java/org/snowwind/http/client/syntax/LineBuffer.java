package org.snowwind.http.client.syntax;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

import io.netty.buffer.ByteBuf;

/**
 * Collects one line of a response, which may arrive in parts.
 */
final class LineBuffer {

	/** Longer than any line that the codec decodes. */
	static final int MAX_BYTES = 16 * 1024;

	private static final int START_BYTES = 256;

	private byte[] bytes = new byte[START_BYTES];

	private int sizeBytes;

	/**
	 * Reads up to the end of the line.
	 * @param in the received bytes
	 * @return whether the line is complete
	 * @throws MalformedResponseException if the line is too long, or does not end in CRLF
	 */
	boolean read(ByteBuf in) throws MalformedResponseException {
		int lineFeedOffset = in.bytesBefore((byte) '\n');
		int addedBytes = (lineFeedOffset < 0) ? in.readableBytes() : lineFeedOffset + 1;
		int newSizeBytes = this.sizeBytes + addedBytes;
		if (newSizeBytes > MAX_BYTES) {
			throw new MalformedResponseException(ResponseFault.LINE_LENGTH,
					"a line is larger than " + MAX_BYTES + " bytes");
		}
		if (newSizeBytes > this.bytes.length) {
			this.bytes = Arrays.copyOf(this.bytes, Math.max(newSizeBytes, 2 * this.bytes.length));
		}
		in.readBytes(this.bytes, this.sizeBytes, addedBytes);
		this.sizeBytes = newSizeBytes;
		if (lineFeedOffset < 0) {
			return false;
		}
		if (this.sizeBytes < 2 || this.bytes[this.sizeBytes - 2] != '\r') {
			throw new MalformedResponseException(ResponseFault.LINE_END, "expected a line that ends in CRLF");
		}
		this.sizeBytes -= 2;
		return true;
	}

	/**
	 * Starts the next line.
	 */
	void clear() {
		this.sizeBytes = 0;
	}

	/**
	 * Returns the length of a complete line.
	 * @return the number of octets without the line end
	 */
	int length() {
		return this.sizeBytes;
	}

	/**
	 * Returns an octet of the line.
	 * @param index its index
	 * @return the octet, from 0 to 255
	 */
	int at(int index) {
		return this.bytes[index] & 0xff;
	}

	/**
	 * Returns a part of the line as ISO 8859-1.
	 * @param from the first index
	 * @param until the last index, exclusive
	 * @return the text
	 */
	String text(int from, int until) {
		return new String(this.bytes, from, until - from, StandardCharsets.ISO_8859_1);
	}

}
