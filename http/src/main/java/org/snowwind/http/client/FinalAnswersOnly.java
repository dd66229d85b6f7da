package org.snowwind.http.client;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.asynchttpclient.netty.channel.ChannelManager;

/**
 * Leaves out provisional answers, which the library would take for the final one.
 *
 * <p>
 * No request of ours asks for one: bodies are sent without waiting, and no protocol is
 * changed. So a server that sends one says nothing that anybody waits for.
 */
final class FinalAnswersOnly extends ChannelInboundHandlerAdapter {

	private boolean provisional;

	private boolean changesProtocol;

	/**
	 * Sets the handler up on a new connection.
	 * @param connection the connection
	 */
	static void on(Channel connection) {
		connection.pipeline().addAfter(ChannelManager.HTTP_CLIENT_CODEC, null, new FinalAnswersOnly());
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		if (message instanceof HttpResponse response) {
			this.provisional = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
			// No answer in HTTP can follow; whoever waits for one must learn that.
			this.changesProtocol = HttpResponseStatus.SWITCHING_PROTOCOLS.equals(response.status());
			if (this.changesProtocol) {
				context.close();
			}
		}
		if (!this.provisional) {
			context.fireChannelRead(message);
			return;
		}
		ReferenceCountUtil.release(message);
		this.provisional = this.changesProtocol || !(message instanceof LastHttpContent);
	}

}
