package org.snowwind.http.client;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.asynchttpclient.netty.channel.ChannelManager;
import org.snowwind.http.client.syntax.MalformedResponseException;
import org.snowwind.http.client.syntax.ResponseFault;
import org.snowwind.http.client.syntax.ResponseFaults;

/**
 * Drops interim responses, which the library would take for the final one.
 *
 * <p>
 * No request of ours asks for one: bodies are sent without waiting, and no protocol is
 * changed. So a server that sends one says nothing that anybody waits for.
 */
final class InterimResponseFilter extends ChannelInboundHandlerAdapter {

	/**
	 * How many interim responses one connection may bring. A server that sends them
	 * without end would take all of the loop's time.
	 */
	private static final int MAX_INTERIM = 64;

	private final ResponseFaults faults;

	private int interimResponses;

	private boolean interim;

	private boolean changesProtocol;

	private InterimResponseFilter(ResponseFaults faults) {
		this.faults = faults;
	}

	/**
	 * Sets the handler up on a new connection.
	 * @param connection the connection
	 * @param faults records responses that cannot be decoded
	 */
	static void on(Channel connection, ResponseFaults faults) {
		connection.pipeline().addAfter(ChannelManager.HTTP_CLIENT_CODEC, null, new InterimResponseFilter(faults));
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		if (message instanceof HttpObject part && part.decoderResult().isFailure()) {
			// Nothing more can be read, so the call must fail.
			recordFault(context.channel(), part.decoderResult().cause());
			context.fireChannelRead(message);
			return;
		}
		if (message instanceof HttpResponse response) {
			this.interim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
			this.interimResponses = this.interim ? this.interimResponses + 1 : 0;
			// No HTTP response can follow, so the call fails with its connection.
			this.changesProtocol = HttpResponseStatus.SWITCHING_PROTOCOLS.equals(response.status());
			if (this.changesProtocol) {
				context.close();
			}
		}
		if (!this.interim) {
			context.fireChannelRead(message);
			return;
		}
		ReferenceCountUtil.release(message);
		if (message instanceof HttpResponse && this.interimResponses == MAX_INTERIM + 1) {
			throw new TooLongFrameException("more than " + MAX_INTERIM + " interim responses");
		}
		this.interim = this.changesProtocol || !(message instanceof LastHttpContent);
	}

	// A response that is cut off is incomplete, not malformed.
	private void recordFault(Channel connection, Throwable cause) {
		if (!(cause instanceof PrematureChannelClosureException)) {
			this.faults.record(connection,
					new MalformedResponseException(ResponseFault.UNDECODABLE, cause.getClass().getSimpleName()));
		}
	}

}
