package org.snowwind.http.server;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelOutputShutdownEvent;

/**
 * Tracks the connections whose sending side is closed, and that are open only until their
 * callers close theirs. They give way to new connections. Confined to the event loop.
 */
@ChannelHandler.Sharable
final class HalfClosedConnections extends ChannelInboundHandlerAdapter {

	/** The oldest first. */
	private final Set<Channel> connections = new LinkedHashSet<>();

	@Override
	public void userEventTriggered(ChannelHandlerContext context, Object event) {
		if (event == ChannelOutputShutdownEvent.INSTANCE && context.channel().isOpen()) {
			this.connections.add(context.channel());
		}
		context.fireUserEventTriggered(event);
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.connections.remove(context.channel());
		context.fireChannelInactive();
	}

	/**
	 * Closes the connection that has been half-closed longest.
	 * @return false if there is none
	 */
	boolean closeOldest() {
		Iterator<Channel> oldestFirst = this.connections.iterator();
		if (!oldestFirst.hasNext()) {
			return false;
		}
		Channel oldest = oldestFirst.next();
		oldestFirst.remove();
		oldest.close();
		return true;
	}

}
