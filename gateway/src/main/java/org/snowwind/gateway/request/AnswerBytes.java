package org.snowwind.gateway.request;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;

/**
 * The held bytes of one answer, in blocks. Growing does not copy what is held, and many
 * small parts take little more than their bytes.
 */
final class AnswerBytes {

	private static final int BLOCK_BYTES = 8 * 1024;

	private final Deque<byte[]> blocks = new ArrayDeque<>();

	/** How much of the last block is free, in bytes. */
	private int freeBytes;

	private int size;

	/**
	 * Appends a part.
	 * @param part the bytes
	 */
	void append(byte[] part) {
		int start = 0;
		while (start < part.length) {
			if (this.freeBytes == 0) {
				this.freeBytes = Math.max(BLOCK_BYTES, part.length - start);
				this.blocks.add(new byte[this.freeBytes]);
			}
			byte[] block = this.blocks.getLast();
			int length = Math.min(this.freeBytes, part.length - start);
			System.arraycopy(part, start, block, block.length - this.freeBytes, length);
			this.freeBytes -= length;
			start += length;
		}
		this.size += part.length;
	}

	/**
	 * Returns the number of bytes.
	 * @return the sum of all parts
	 */
	int size() {
		return this.size;
	}

	/**
	 * Returns all bytes and keeps none. Only the last block is copied.
	 * @return the blocks in order, none of them empty
	 */
	List<byte[]> take() {
		List<byte[]> taken = new ArrayList<>(this.blocks);
		if (this.freeBytes > 0) {
			byte[] last = taken.remove(taken.size() - 1);
			taken.add(Arrays.copyOf(last, last.length - this.freeBytes));
		}
		clear();
		return taken;
	}

	/**
	 * Releases the blocks.
	 */
	void clear() {
		this.blocks.clear();
		this.freeBytes = 0;
		this.size = 0;
	}

}
