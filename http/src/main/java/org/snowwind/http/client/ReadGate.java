package org.snowwind.http.client;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;

/**
 * Holds back reads from a connection while its call takes no bytes.
 *
 * <p>
 * The library asks for the next read itself after each one, whether or not reading is
 * automatic. Without the gate all of an answer that a slow caller does not take would be
 * held in this process's memory.
 */
final class ReadGate extends ChannelOutboundHandlerAdapter {

	private ChannelHandlerContext context;

	private boolean open = true;

	private boolean wanted;

	/**
	 * Opens or shuts the gate of a connection, if it has one.
	 * @param connection the connection
	 * @param open whether its bytes are taken
	 */
	static void set(Channel connection, boolean open) {
		ReadGate gate = connection.pipeline().get(ReadGate.class);
		if (gate != null) {
			gate.set(open);
		}
	}

	private void set(boolean nowOpen) {
		this.open = nowOpen;
		// While reading is automatic the transport reads on without being asked.
		this.context.channel().config().setAutoRead(nowOpen);
		if (nowOpen && this.wanted) {
			this.wanted = false;
			this.context.read();
		}
	}

	@Override
	public void handlerAdded(ChannelHandlerContext added) {
		this.context = added;
	}

	@Override
	public void read(ChannelHandlerContext reader) {
		if (this.open) {
			reader.read();
		}
		else {
			this.wanted = true;
		}
	}

}
