package org.snowwind.http.server;

import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;

/**
 * A listener that is closed without resetting connections that callers have established.
 */
final class ListenerChannel extends NioServerSocketChannel {

	/**
	 * Accepts all established connections, then closes the listener. The kernel resets
	 * what it establishes between the two, so nothing else is done there. The listener
	 * must not be registered with a selector, which would delay its closing.
	 * @param most the maximum number of connections to accept
	 * @throws IOException if a connection cannot be accepted or the listener cannot be
	 * closed; the connections accepted before are served
	 */
	void acceptEstablishedAndClose(int most) throws IOException {
		acceptEstablishedAndClose(javaChannel(), most,
				(connection) -> pipeline().fireChannelRead(new NioSocketChannel(this, connection)));
	}

	/**
	 * Accepts all established connections of a listener and closes it.
	 * @param listener the listener
	 * @param most the maximum number of connections to accept
	 * @param taker takes each accepted connection once the listener is closed
	 * @throws IOException if a connection cannot be accepted or the listener cannot be
	 * closed; the connections accepted before are handed over
	 */
	static void acceptEstablishedAndClose(ServerSocketChannel listener, int most, Consumer<SocketChannel> taker)
			throws IOException {
		List<SocketChannel> established = new ArrayList<>();
		try (listener) {
			SocketChannel next;
			while (established.size() < most && (next = listener.accept()) != null) {
				established.add(next);
			}
		}
		finally {
			established.forEach(taker);
		}
	}

}
