package org.snowwind.wire;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SocketChannel;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.apache.thrift.transport.TNonblockingServerSocket;
import org.apache.thrift.transport.TNonblockingSocket;
import org.apache.thrift.transport.TTransportException;
import org.snowwind.model.MonotonicClock;

/**
 * The open connections of a control server and what they hold. Confined to the server's
 * selector thread.
 */
final class ControlConnections extends TNonblockingServerSocket {

	private final ControlLimits limits;

	private final MonotonicClock clock;

	/** The oldest first. */
	private final Set<FrameSocket> open = new LinkedHashSet<>();

	/** When each unfinished frame began, the oldest first. */
	private final Map<FrameSocket, Long> unfinishedSinceMillis = new LinkedHashMap<>();

	private long reservedBytes;

	ControlConnections(InetSocketAddress address, ControlLimits limits, MonotonicClock clock)
			throws TTransportException {
		super(address, 0, limits.maxFrameBytes());
		this.limits = limits;
		this.clock = clock;
	}

	ControlLimits limits() {
		return this.limits;
	}

	long nowMillis() {
		return this.clock.nowMillis();
	}

	@Override
	public TNonblockingSocket accept() throws TTransportException {
		TNonblockingSocket accepted = super.accept();
		if (accepted == null) {
			return null;
		}
		closeOverdue();
		if (this.open.size() >= this.limits.maxConnections()) {
			this.open.stream()
				.min(Comparator.comparingLong(FrameSocket::lastFrameMillis))
				.ifPresent(FrameSocket::close);
		}
		return adopt(accepted.getSocketChannel());
	}

	private FrameSocket adopt(SocketChannel channel) throws TTransportException {
		try {
			FrameSocket connection = new FrameSocket(channel, this, nowMillis());
			this.open.add(connection);
			return connection;
		}
		catch (IOException ex) {
			throw new TTransportException(TTransportException.UNKNOWN, ex);
		}
	}

	/**
	 * Closes connections whose frame takes too long to arrive.
	 */
	void closeOverdue() {
		long overdueMillis = nowMillis() - this.limits.frameMillis();
		List<FrameSocket> overdue = this.unfinishedSinceMillis.entrySet()
			.stream()
			.takeWhile((entry) -> entry.getValue() <= overdueMillis)
			.map(Map.Entry::getKey)
			.toList();
		overdue.forEach(FrameSocket::close);
	}

	/**
	 * Records that the length of a frame has arrived.
	 * @param connection its connection
	 */
	void frameBegins(FrameSocket connection) {
		this.unfinishedSinceMillis.put(connection, nowMillis());
	}

	/**
	 * Reserves space for a part of a frame that has arrived.
	 * @param bytes the space, in bytes
	 * @throws TTransportException if all frames together would hold too much
	 */
	void reserve(int bytes) throws TTransportException {
		if (this.reservedBytes + bytes > this.limits.maxTotalBytes()) {
			throw new TTransportException(TTransportException.UNKNOWN,
					"unfinished frames together have more than " + this.limits.maxTotalBytes() + " bytes");
		}
		this.reservedBytes += bytes;
	}

	/**
	 * Records that a frame was delivered or dropped.
	 * @param connection its connection
	 * @param bytes the space that was reserved for it, in bytes
	 */
	void frameEnds(FrameSocket connection, int bytes) {
		this.unfinishedSinceMillis.remove(connection);
		this.reservedBytes -= bytes;
	}

	/**
	 * Records that a connection was closed.
	 * @param connection the connection
	 */
	void closed(FrameSocket connection) {
		this.open.remove(connection);
	}

	/**
	 * Closes the listener and all connections. It is called once the selector thread has
	 * ended.
	 */
	void closeAll() {
		close();
		List.copyOf(this.open).forEach(FrameSocket::close);
	}

}
