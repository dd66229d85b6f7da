package org.snowwind.http.client;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import org.snowwind.model.MonotonicClock;

/**
 * Fails a call whose server sends too many bytes that are of no use to the caller: heads,
 * framing, and content that the listener drops.
 *
 * <p>
 * Bytes are counted before they are decoded, so that no part of a response is exempt. The
 * bound grows with the content and with time, so that neither small chunks nor keep-alive
 * comments end a long response.
 */
final class UnusedBytes extends ChannelInboundHandlerAdapter {

	/** What is allowed to any call, in bytes. */
	static final long ALLOWANCE_BYTES = 64 * 1024;

	/** What is allowed in addition for each byte of used content, in bytes. */
	private static final long BYTES_PER_USED_BYTE = 2;

	/** What is allowed in addition for each millisecond of the call, in bytes. */
	private static final long BYTES_PER_MILLI = 16;

	private final MonotonicClock clock;

	private UpstreamCall call;

	private long startMillis;

	private long receivedBytes;

	private long contentBytes;

	private long droppedBytes;

	private boolean exceeded;

	UnusedBytes(MonotonicClock clock) {
		this.clock = clock;
		this.startMillis = clock.nowMillis();
	}

	/**
	 * Sets the handler up on a new connection.
	 * @param connection the connection
	 */
	static void on(Channel connection) {
		connection.pipeline().addFirst(new UnusedBytes(MonotonicClock.system()));
	}

	/**
	 * Returns the handler of a connection.
	 * @param connection a connection that the handler was set up on
	 * @return the handler
	 */
	static UnusedBytes of(Channel connection) {
		return connection.pipeline().get(UnusedBytes.class);
	}

	/**
	 * Begins to count for the next call on the connection.
	 * @param next the call
	 */
	void begin(UpstreamCall next) {
		this.call = next;
		this.startMillis = this.clock.nowMillis();
		this.receivedBytes = 0;
		this.contentBytes = 0;
		this.droppedBytes = 0;
	}

	/**
	 * Records content of the response.
	 * @param bytes the number of bytes
	 */
	void content(int bytes) {
		this.contentBytes += bytes;
	}

	/**
	 * Sets how much of the content so far is of no use to the caller.
	 * @param bytes the number of bytes
	 */
	void dropped(long bytes) {
		this.droppedBytes = bytes;
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		if (this.exceeded) {
			ReferenceCountUtil.release(message);
			return;
		}
		this.receivedBytes += ((ByteBuf) message).readableBytes();
		UpstreamCall reader = this.call;
		if (reader == null) {
			context.fireChannelRead(message);
		}
		else {
			reader.beginRead();
			context.fireChannelRead(message);
			reader.endRead();
		}
		if (unusedBytes() > boundBytes() && context.channel().isOpen()) {
			this.exceeded = true;
			context.fireExceptionCaught(new ResponseTooLargeException("the response has " + unusedBytes()
					+ " bytes that are of no use, and " + usedBytes() + " that are"));
			context.close();
		}
	}

	private long usedBytes() {
		return this.contentBytes - this.droppedBytes;
	}

	private long unusedBytes() {
		return this.receivedBytes - usedBytes();
	}

	private long boundBytes() {
		long millis = this.clock.nowMillis() - this.startMillis;
		return ALLOWANCE_BYTES + BYTES_PER_USED_BYTE * usedBytes() + BYTES_PER_MILLI * millis;
	}

}
