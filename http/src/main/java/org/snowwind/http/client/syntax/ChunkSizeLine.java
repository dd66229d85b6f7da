package org.snowwind.http.client.syntax;

/**
 * The line before the content of a chunk.
 *
 * <p>
 * Blanks after the size are ignored, since some servers pad it.
 */
final class ChunkSizeLine {

	private static final int HEX = 16;

	private static final int BITS_PER_DIGIT = 4;

	private ChunkSizeLine() {
	}

	/**
	 * Parses a line.
	 * @param line the complete line
	 * @return the size of the chunk, in bytes; 0 for the last chunk
	 * @throws MalformedResponseException if the line is not valid
	 */
	static long parse(LineBuffer line) throws MalformedResponseException {
		long sizeBytes = 0;
		int index = 0;
		while (index < line.length() && digit(line, index) >= 0) {
			if (sizeBytes > Long.MAX_VALUE >> BITS_PER_DIGIT) {
				throw fault();
			}
			sizeBytes = (sizeBytes << BITS_PER_DIGIT) + digit(line, index);
			index++;
		}
		if (index == 0) {
			throw fault();
		}
		checkExtension(line, index);
		return sizeBytes;
	}

	private static int digit(LineBuffer line, int index) {
		// Characters above 0x7f are no digits of ISO 8859-1.
		return Character.digit((char) line.at(index), HEX);
	}

	private static void checkExtension(LineBuffer line, int from) throws MalformedResponseException {
		int index = from;
		while (index < line.length() && Octets.isBlank(line.at(index))) {
			index++;
		}
		if (index < line.length() && line.at(index) != ';') {
			throw fault();
		}
		for (; index < line.length(); index++) {
			if (!Octets.isText(line.at(index))) {
				throw fault();
			}
		}
	}

	// The line may be content, which is not logged.
	private static MalformedResponseException fault() {
		return new MalformedResponseException(ResponseFault.CHUNK_SIZE, "expected the size of a chunk");
	}

}
