package org.snowwind.http;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;

/**
 * Limits what is read of one connection in one turn of the event loop.
 *
 * <p>
 * A few bytes may take much work to decode, such as chunks of one byte. While a peer
 * sends without a pause, the other connections have their turn after one read.
 */
public final class TurnReads {

	private static final int MIN_BYTES = 64;

	private static final int INITIAL_BYTES = 2048;

	/**
	 * The largest read, in bytes. A connection that waits with part of a request keeps
	 * what one read brought.
	 */
	private static final int MAX_BYTES = 8 * 1024;

	private TurnReads() {
	}

	/**
	 * Creates the allocator that sets the limit on connections.
	 * @return an allocator of one read per turn
	 */
	public static RecvByteBufAllocator allocator() {
		return new AdaptiveRecvByteBufAllocator(MIN_BYTES, INITIAL_BYTES, MAX_BYTES).maxMessagesPerRead(1);
	}

}
