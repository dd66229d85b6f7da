package org.snowwind.http.client;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;

/**
 * Closes a connection that receives more than one response may have. It counts before the
 * response is decoded, so that no part of a response is exempt.
 */
final class ReceivedBytes extends ChannelInboundHandlerAdapter {

	private final long maxBytes;

	private final UnfinishedResponses unfinished;

	private ChannelHandlerContext context;

	private long bytes;

	private boolean exceeded;

	private ReceivedBytes(long maxBytes, UnfinishedResponses unfinished) {
		this.maxBytes = maxBytes;
		this.unfinished = unfinished;
	}

	/**
	 * Sets the handler up on a new connection, which carries one response.
	 * @param connection the connection
	 * @param maxBytes what the response may have, in bytes
	 * @param unfinished the unfinished responses of the client
	 */
	static void on(Channel connection, long maxBytes, UnfinishedResponses unfinished) {
		connection.pipeline().addFirst(new ReceivedBytes(maxBytes, unfinished));
	}

	@Override
	public void handlerAdded(ChannelHandlerContext context) {
		this.context = context;
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		if (!this.exceeded) {
			count(((ByteBuf) message).readableBytes());
		}
		if (this.exceeded) {
			ReferenceCountUtil.release(message);
			return;
		}
		context.fireChannelRead(message);
	}

	private void count(int received) {
		this.bytes += received;
		this.unfinished.add(this, received);
		if (this.bytes > this.maxBytes) {
			fail("response has more than " + this.maxBytes + " bytes");
		}
	}

	/**
	 * Returns what was received.
	 * @return the number of bytes
	 */
	long bytes() {
		return this.bytes;
	}

	/**
	 * Fails the response and closes its connection.
	 * @param limit the exceeded limit, for the caller
	 */
	void fail(String limit) {
		if (this.exceeded) {
			return;
		}
		this.exceeded = true;
		this.unfinished.remove(this);
		this.context.fireExceptionCaught(new ResponseTooLargeException(limit));
		this.context.close();
	}

	@Override
	public void handlerRemoved(ChannelHandlerContext context) {
		this.unfinished.remove(this);
	}

}
