package org.snowwind.wire;

import org.apache.thrift.transport.TTransportException;

/**
 * Checks the length that precedes a frame.
 */
final class FrameLength {

	/** The size of the length itself, in bytes. */
	static final int BYTES = Integer.BYTES;

	private FrameLength() {
	}

	/**
	 * Checks a length.
	 * @param length the length, in bytes
	 * @param maxFrameBytes the largest frame, in bytes
	 * @return the length
	 * @throws TTransportException if no frame may have this length
	 */
	static int check(int length, int maxFrameBytes) throws TTransportException {
		if (length <= 0 || length > maxFrameBytes) {
			throw new TTransportException(TTransportException.CORRUPTED_DATA,
					"expected a frame of 1 to " + maxFrameBytes + " bytes, got a length of " + length);
		}
		return length;
	}

}
