package org.snowwind.http.server;

import java.util.LinkedHashMap;
import java.util.Map;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpRequest;
import org.snowwind.model.MonotonicClock;

/**
 * Tracks the connections on which no whole head of a request has arrived. They give way
 * to new connections. Confined to the event loop.
 */
@ChannelHandler.Sharable
final class UnusedConnections extends ChannelInboundHandlerAdapter {

	/**
	 * How long a caller may take to send the head of its first request before its
	 * connection may give way, in milliseconds.
	 */
	static final long FIRST_HEAD_MILLIS = 2000;

	private final MonotonicClock clock;

	/** When each connection was opened, in milliseconds, the oldest first. */
	private final Map<Channel, Long> openedMillis = new LinkedHashMap<>();

	UnusedConnections(MonotonicClock clock) {
		this.clock = clock;
	}

	@Override
	public void handlerAdded(ChannelHandlerContext context) {
		this.openedMillis.put(context.channel(), this.clock.nowMillis());
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		if (message instanceof HttpRequest) {
			context.pipeline().remove(this);
		}
		context.fireChannelRead(message);
	}

	@Override
	public void handlerRemoved(ChannelHandlerContext context) {
		this.openedMillis.remove(context.channel());
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.openedMillis.remove(context.channel());
		context.fireChannelInactive();
	}

	/**
	 * Closes the connection that has been unused longest, unless it was opened only just
	 * now.
	 * @return false if there is none to close
	 */
	boolean closeOldest() {
		Map.Entry<Channel, Long> oldest = oldest();
		while (oldest != null && this.clock.nowMillis() - oldest.getValue() >= FIRST_HEAD_MILLIS) {
			// A request may have arrived that the loop has not read yet.
			KernelReads.read(oldest.getKey());
			if (this.openedMillis.remove(oldest.getKey(), oldest.getValue())) {
				oldest.getKey().close();
				return true;
			}
			oldest = oldest();
		}
		return false;
	}

	private Map.Entry<Channel, Long> oldest() {
		return this.openedMillis.entrySet().stream().findFirst().map(Map.Entry::copyOf).orElse(null);
	}

}
