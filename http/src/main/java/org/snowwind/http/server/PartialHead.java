package org.snowwind.http.server;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ByteProcessor;

/**
 * Tracks whether the head of a request has arrived in part. It stands before the decoder,
 * which holds such bytes back.
 */
final class PartialHead extends ChannelInboundHandlerAdapter {

	private boolean pending;

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		// Empty lines between requests are allowed and begin no head.
		if (message instanceof ByteBuf bytes && bytes.forEachByte(ByteProcessor.FIND_NON_CRLF) >= 0) {
			this.pending = true;
		}
		context.fireChannelRead(message);
	}

	/**
	 * Records that the decoder has completed a part of a message.
	 */
	void onDecoded() {
		this.pending = false;
	}

	/**
	 * Returns whether bytes of a head wait for the rest of it.
	 * @return true if a request is on its way
	 */
	boolean isPending() {
		return this.pending;
	}

}
