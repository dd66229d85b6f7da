package org.snowwind.http.client.syntax;

/**
 * The line before the content of a chunk.
 */
final class ChunkSizeLine {

	private static final int HEX = 16;

	private ChunkSizeLine() {
	}

	/**
	 * Parses a line.
	 * @param line the complete line
	 * @return the size of the chunk, in bytes; 0 for the last chunk
	 */
	static long parse(LineBuffer line) {
		long sizeBytes = 0;
		for (int i = 0; i < line.length(); i++) {
			int digit = Character.digit((char) line.at(i), HEX);
			if (digit < 0) {
				return sizeBytes;
			}
			sizeBytes = HEX * sizeBytes + digit;
		}
		return sizeBytes;
	}

}
