package org.snowwind.http.server;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import org.snowwind.model.MonotonicClock;
import org.snowwind.model.event.Event;
import org.snowwind.model.event.EventLog;

/**
 * Writes to a caller's connection and counts what is held for it. Confined to the loop.
 */
final class ConnectionBytes {

	/**
	 * What the transport holds for a write beside its content, in bytes: for each of the
	 * frame's three parts an entry and a buffer.
	 */
	private static final long WRITE_OVERHEAD_BYTES = 512;

	/**
	 * Large parts are written in pieces of this size, in bytes, as the caller takes them.
	 */
	private static final int PIECE_BYTES = 32 * 1024;

	private final Channel channel;

	private final HeldBytes all;

	private final HeldBytes.Holder holder;

	private final MonotonicClock clock;

	private boolean readingRefused;

	private int pendingWrites;

	private boolean takenSinceLastAsked;

	private Runnable whenReadOn = () -> {
	};

	private Consumer<Throwable> whenWriteFailed = (cause) -> {
	};

	ConnectionBytes(Channel channel, HeldBytes all, MonotonicClock clock) {
		this.channel = channel;
		this.all = all;
		this.clock = clock;
		this.holder = all.open(this::reset);
	}

	/**
	 * Asks to be told when more may be read for the caller again.
	 * @param told called on the loop
	 */
	void onReadOn(Runnable told) {
		this.whenReadOn = told;
	}

	/**
	 * Asks to be told of a write that failed while the caller was there.
	 * @param told called on the loop with the cause
	 */
	void onWriteFailed(Consumer<Throwable> told) {
		this.whenWriteFailed = told;
	}

	/**
	 * Writes and flushes a part of an answer.
	 * @param context the handler that writes
	 * @param part the part
	 * @return completed when the connection has taken it
	 */
	ChannelFuture send(ChannelHandlerContext context, HttpObject part) {
		boolean large = part instanceof HttpContent content && content.content().readableBytes() > PIECE_BYTES;
		ChannelFuture written = large ? sendInPieces(context, (HttpContent) part) : write(context, part);
		context.flush();
		if (this.all.isBounded()) {
			closeExcess();
		}
		return written;
	}

	/**
	 * Writes and flushes a whole answer whose sender counts it.
	 * @param context the handler that writes
	 * @param head the head
	 * @param blocks the body, without empty blocks
	 * @param progress told what the connection has taken
	 */
	void sendBlocks(ChannelHandlerContext context, HttpResponse head, List<byte[]> blocks, SendProgress progress) {
		if (blocks.size() == 1) {
			sendBlock(context, head, blocks.get(0), progress);
			return;
		}
		writeUncounted(context, head);
		for (byte[] block : blocks) {
			writeUncounted(context, new DefaultHttpContent(Unpooled.wrappedBuffer(block)))
				.addListener((done) -> progress.taken(block.length));
		}
		writeUncounted(context, LastHttpContent.EMPTY_LAST_CONTENT).addListener((done) -> progress.ended());
		context.flush();
	}

	private void sendBlock(ChannelHandlerContext context, HttpResponse head, byte[] block, SendProgress progress) {
		writeUncounted(context, new DefaultFullHttpResponse(head.protocolVersion(), head.status(),
				Unpooled.wrappedBuffer(block), head.headers(), EmptyHttpHeaders.INSTANCE))
			.addListener((done) -> progress.ended());
		context.flush();
	}

	private ChannelFuture sendInPieces(ChannelHandlerContext context, HttpContent whole) {
		if (whole instanceof FullHttpResponse response) {
			write(context, new DefaultHttpResponse(response.protocolVersion(), response.status(), response.headers()));
		}
		ChannelFuture written = null;
		ByteBuf content = whole.content();
		while (content.isReadable()) {
			int bytes = Math.min(PIECE_BYTES, content.readableBytes());
			written = write(context, new DefaultHttpContent(content.readRetainedSlice(bytes)));
		}
		whole.release();
		return (whole instanceof LastHttpContent) ? write(context, LastHttpContent.EMPTY_LAST_CONTENT) : written;
	}

	private ChannelFuture write(ChannelHandlerContext context, HttpObject part) {
		int bytes = (part instanceof HttpContent content) ? content.content().readableBytes() : 0;
		ChannelFuture written = writeUncounted(context, part);
		if (this.all.isBounded()) {
			count(written, bytes);
		}
		return written;
	}

	private ChannelFuture writeUncounted(ChannelHandlerContext context, HttpObject part) {
		this.pendingWrites++;
		ChannelFuture written = context.write(part);
		written.addListener((done) -> {
			this.pendingWrites--;
			this.takenSinceLastAsked = true;
			tellFailure(done.cause());
		});
		return written;
	}

	private void tellFailure(Throwable cause) {
		boolean callerLeft = cause instanceof IOException;
		if (cause != null && !callerLeft) {
			this.whenWriteFailed.accept(cause);
		}
	}

	private void count(ChannelFuture written, int contentBytes) {
		if (written.isDone()) {
			return;
		}
		long bytes = WRITE_OVERHEAD_BYTES + contentBytes;
		this.all.written(this.holder, bytes, this.clock.nowMillis());
		written.addListener((done) -> onTaken(bytes));
	}

	private void onTaken(long bytes) {
		this.all.taken(this.holder, bytes, this.clock.nowMillis());
		if (this.readingRefused && this.all.allowsResuming(this.holder)) {
			this.readingRefused = false;
			this.whenReadOn.run();
		}
	}

	/**
	 * Sets what is held for the current request apart from what was written.
	 * @param bytes the number of bytes
	 */
	void buffered(long bytes) {
		if (this.all.isBounded()) {
			this.all.buffered(this.holder, bytes);
			closeExcess();
		}
	}

	/**
	 * Returns whether the caller is still taking an answer.
	 * @return true if parts wait and one has been taken since the last call
	 */
	boolean isBeingTaken() {
		boolean taken = this.takenSinceLastAsked && this.pendingWrites > 0;
		this.takenSinceLastAsked = false;
		return taken;
	}

	/**
	 * Returns whether more may be read for the caller although it is behind.
	 * @return false without a bound
	 */
	boolean allowsReading() {
		this.readingRefused = !this.all.allowsReading(this.holder);
		return !this.readingRefused;
	}

	/**
	 * Ends the count, since the connection is closed.
	 */
	void gone() {
		this.all.remove(this.holder);
	}

	private void closeExcess() {
		long nowMillis = this.clock.nowMillis();
		Optional<HeldBytes.Holder> excess = this.all.removeExcess(nowMillis);
		while (excess.isPresent()) {
			HeldBytes.Holder named = excess.get();
			EventLog.log(Event.CALLER_CLOSED_FOR_MEMORY, "bytes", named.bytes(), "untakenBytes", named.untakenBytes(),
					"stalledMillis", named.stalledMillis(nowMillis), "sumBytes", this.all.sumBytes(), "boundBytes",
					this.all.boundBytes());
			named.close();
			excess = this.all.removeExcess(nowMillis);
		}
	}

	/**
	 * Resets the connection. This drops what the kernel buffers, which a caller that does
	 * not read would keep.
	 */
	void reset() {
		this.channel.config().setOption(ChannelOption.SO_LINGER, 0);
		this.channel.close();
	}

}
