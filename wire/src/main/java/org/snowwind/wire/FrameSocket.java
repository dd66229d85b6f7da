package org.snowwind.wire;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;

import org.apache.thrift.transport.TNonblockingSocket;
import org.apache.thrift.transport.TTransportException;

/**
 * An accepted connection that delivers a frame once it is whole. The server would reserve
 * the space for a frame as soon as it has read its length. Confined to the server's
 * selector thread.
 */
final class FrameSocket extends TNonblockingSocket {

	private static final int FIRST_BYTES = 4096;

	private final SocketChannel channel;

	private final ControlConnections connections;

	private ByteBuffer frame = ByteBuffer.allocate(FrameLength.BYTES);

	/** The length of the current frame, 0 before it is known. */
	private int frameBytes;

	private boolean whole;

	private int reservedBytes;

	private long lastFrameMillis;

	FrameSocket(SocketChannel channel, ControlConnections connections, long nowMillis)
			throws IOException, TTransportException {
		super(channel);
		this.channel = channel;
		this.connections = connections;
		this.lastFrameMillis = nowMillis;
	}

	@Override
	public int read(ByteBuffer target) throws TTransportException {
		this.connections.closeOverdue();
		if (!this.whole && !receive()) {
			return -1;
		}
		return this.whole ? deliver(target) : 0;
	}

	// Returns false at the end of the connection.
	private boolean receive() throws TTransportException {
		try {
			int received = this.channel.read(this.frame);
			while (received > 0 && !this.whole) {
				if (!this.frame.hasRemaining()) {
					extend();
				}
				received = this.whole ? 0 : this.channel.read(this.frame);
			}
			return received >= 0;
		}
		catch (IOException ex) {
			throw new TTransportException(TTransportException.UNKNOWN, ex);
		}
	}

	private void extend() throws TTransportException {
		if (this.frameBytes == 0) {
			this.frameBytes = FrameLength.check(this.frame.getInt(0), this.connections.limits().maxFrameBytes());
			this.connections.frameBegins(this);
		}
		int needed = FrameLength.BYTES + this.frameBytes;
		if (this.frame.position() == needed) {
			this.frame.flip();
			this.whole = true;
			return;
		}
		int capacity = Math.min(needed, Math.max(FIRST_BYTES, 2 * this.frame.capacity()));
		this.connections.reserve(capacity - this.reservedBytes);
		this.reservedBytes = capacity;
		this.frame = ByteBuffer.allocate(capacity).put(this.frame.flip());
	}

	private int deliver(ByteBuffer target) {
		int count = Math.min(target.remaining(), this.frame.remaining());
		target.put(this.frame.slice().limit(count));
		this.frame.position(this.frame.position() + count);
		if (!this.frame.hasRemaining()) {
			release();
			this.lastFrameMillis = this.connections.nowMillis();
		}
		return count;
	}

	private void release() {
		this.connections.frameEnds(this, this.reservedBytes);
		this.reservedBytes = 0;
		this.frame = ByteBuffer.allocate(FrameLength.BYTES);
		this.frameBytes = 0;
		this.whole = false;
	}

	/**
	 * Returns when the last whole frame was delivered.
	 * @return the time, in milliseconds; that of the connection if there was none
	 */
	long lastFrameMillis() {
		return this.lastFrameMillis;
	}

	@Override
	public void close() {
		release();
		this.connections.closed(this);
		super.close();
	}

}
