package org.snowwind.http.server;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;

/**
 * Passes what a caller sends to the decoder as long as the connection takes it, and drops
 * the rest.
 */
final class InboundGate extends ChannelInboundHandlerAdapter {

	private final ConnectionHandler connection;

	InboundGate(ConnectionHandler connection) {
		this.connection = connection;
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		if (this.connection.takes((ByteBuf) message)) {
			context.fireChannelRead(message);
		}
		else {
			ReferenceCountUtil.release(message);
		}
	}

}
