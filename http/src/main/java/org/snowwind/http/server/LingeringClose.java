package org.snowwind.http.server;

import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;

/**
 * Closes a connection in two steps: ends the sending side, then discards what still
 * arrives until the caller closes its side. Closing on unread bytes would reset the
 * connection, and with it an answer that the caller has not read yet.
 */
final class LingeringClose extends ChannelInboundHandlerAdapter {

	/** The maximum number of bytes that are discarded before the connection is closed. */
	private static final int MAX_DISCARDED_BYTES = 256 * 1024;

	private int discardedBytes;

	/** The close at the end of the waiting time. */
	private Future<?> bound;

	private LingeringClose() {
	}

	/**
	 * Begins to close a connection. Does nothing if it closes already.
	 * @param connection the connection; the calling thread is its event loop
	 * @param lingerMillis how long the caller may take to close its side, in milliseconds
	 */
	static void begin(Channel connection, long lingerMillis) {
		begin(connection, lingerMillis, true);
	}

	/**
	 * Begins to close a connection that owes nothing. Bytes that still arrive stay
	 * unread. Does nothing if it closes already.
	 * @param connection the connection; the calling thread is its event loop
	 * @param lingerMillis when the connection is closed, in milliseconds
	 */
	static void beginUnread(Channel connection, long lingerMillis) {
		begin(connection, lingerMillis, false);
	}

	private static void begin(Channel connection, long lingerMillis, boolean reading) {
		boolean begun = connection.pipeline().get(LingeringClose.class) != null;
		if (begun || !connection.isActive()) {
			return;
		}
		if (!(connection instanceof DuplexChannel duplex)) {
			connection.close();
			return;
		}
		LingeringClose handler = new LingeringClose();
		handler.bound = connection.eventLoop()
			.schedule((Runnable) connection::close, lingerMillis, TimeUnit.MILLISECONDS);
		connection.pipeline().addFirst(handler);
		duplex.shutdownOutput().addListener((ChannelFuture done) -> {
			if (!done.isSuccess()) {
				connection.close();
			}
		});
		connection.config().setAutoRead(reading);
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		int bytes = (message instanceof ByteBuf part) ? part.readableBytes() : 0;
		ReferenceCountUtil.release(message);
		this.discardedBytes += bytes;
		if (this.discardedBytes > MAX_DISCARDED_BYTES) {
			context.close();
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.bound.cancel(false);
		context.fireChannelInactive();
	}

}
