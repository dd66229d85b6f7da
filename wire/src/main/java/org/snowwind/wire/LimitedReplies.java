package org.snowwind.wire;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;

import org.apache.thrift.transport.TNonblockingSocket;
import org.apache.thrift.transport.TTransportException;

/**
 * A connection to a peer on which the length of a reply is checked before space for it is
 * reserved.
 */
final class LimitedReplies extends TNonblockingSocket {

	private final int maxFrameBytes;

	/** The bytes of the current reply that are still to come, 0 before its length. */
	private int remainingBytes;

	LimitedReplies(InetSocketAddress address, int maxFrameBytes) throws IOException, TTransportException {
		super(address.getAddress().getHostAddress(), address.getPort());
		this.maxFrameBytes = maxFrameBytes;
	}

	@Override
	public int read(ByteBuffer buffer) throws TTransportException {
		int received = super.read(buffer);
		if (this.remainingBytes > 0) {
			this.remainingBytes -= Math.max(0, received);
		}
		else if (!buffer.hasRemaining()) {
			this.remainingBytes = FrameLength.check(buffer.getInt(0), this.maxFrameBytes);
		}
		return received;
	}

}
