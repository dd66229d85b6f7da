package org.snowwind.http.server;

import java.nio.channels.ClosedChannelException;
import java.util.ArrayDeque;
import java.util.Deque;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.util.ReferenceCountUtil;

/**
 * Passes writes to the connection only while it is writable and keeps the others in
 * order. The transport copies what it is given to direct memory at once.
 */
final class PacedWriter extends ChannelDuplexHandler {

	private final Deque<Waiting> waiting = new ArrayDeque<>();

	private boolean passing;

	@Override
	public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
		this.waiting.add(new Waiting(message, promise));
		if (!this.passing) {
			passWritable(context);
		}
	}

	@Override
	public void flush(ChannelHandlerContext context) {
		context.flush();
		passAll(context);
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext context) {
		passAll(context);
		context.fireChannelWritabilityChanged();
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		drop();
		context.fireChannelInactive();
	}

	@Override
	public void handlerRemoved(ChannelHandlerContext context) {
		drop();
	}

	private void passAll(ChannelHandlerContext context) {
		if (this.passing) {
			return;
		}
		this.passing = true;
		while (!this.waiting.isEmpty() && context.channel().isWritable()) {
			passWritable(context);
			context.flush();
		}
		this.passing = false;
	}

	private void passWritable(ChannelHandlerContext context) {
		while (!this.waiting.isEmpty() && context.channel().isWritable()) {
			Waiting next = this.waiting.removeFirst();
			context.write(next.message(), next.promise());
		}
	}

	private void drop() {
		while (!this.waiting.isEmpty()) {
			Waiting next = this.waiting.removeFirst();
			ReferenceCountUtil.release(next.message());
			next.promise().tryFailure(new ClosedChannelException());
		}
	}

	/**
	 * A write that waits.
	 *
	 * @param message what is written
	 * @param promise completed when the connection has taken it
	 */
	private record Waiting(Object message, ChannelPromise promise) {

	}

}
