package org.snowwind.http.client.syntax;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.ReferenceCountUtil;

/**
 * Closes a connection whose server breaks the grammar of HTTP/1.1.
 *
 * <p>
 * The codec reads heads leniently: it drops what it does not understand, so that a
 * decoded response no longer tells what the server wrote. Bytes are therefore checked
 * before they are decoded. What precedes the fault is passed on, so that received content
 * is not lost.
 */
public final class ResponseSyntax extends ChannelInboundHandlerAdapter {

	private final ResponseFaults faults;

	private final ResponseScanner scanner = new ResponseScanner();

	private boolean failed;

	private ResponseSyntax(ResponseFaults faults) {
		this.faults = faults;
	}

	/**
	 * Sets the check up on a new connection.
	 * @param connection the connection
	 * @param codec the name of the handler that decodes its responses
	 * @param faults records malformed responses
	 */
	public static void on(Channel connection, String codec, ResponseFaults faults) {
		ResponseSyntax syntax = new ResponseSyntax(faults);
		connection.pipeline().addBefore(codec, null, syntax);
		connection.pipeline().addAfter(codec, null, new SentMethods(syntax.scanner));
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		ByteBuf in = (ByteBuf) message;
		if (this.failed) {
			in.release();
			return;
		}
		int startIndex = in.readerIndex();
		MalformedResponseException fault = scan(in);
		in.setIndex(startIndex, (fault != null) ? this.scanner.acceptedIndex() : in.readerIndex());
		if (fault != null) {
			this.failed = true;
			// What is passed on may end the call and close the connection.
			this.faults.record(context.channel(), fault);
		}
		if (in.isReadable()) {
			context.fireChannelRead(in);
		}
		else {
			ReferenceCountUtil.release(in);
		}
		if (fault != null) {
			context.fireExceptionCaught(fault);
			context.close();
		}
	}

	private MalformedResponseException scan(ByteBuf in) {
		try {
			this.scanner.scan(in);
			return null;
		}
		catch (MalformedResponseException ex) {
			return ex;
		}
	}

	// A response has no content, whatever its fields say, if its request had the method
	// HEAD.
	private static final class SentMethods extends ChannelOutboundHandlerAdapter {

		private final ResponseScanner scanner;

		private SentMethods(ResponseScanner scanner) {
			this.scanner = scanner;
		}

		@Override
		public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
			if (message instanceof HttpRequest request) {
				this.scanner.expectResponse(request.method().name());
			}
			context.write(message, promise);
		}

	}

}
