package org.snowwind.gateway.suspect;

import java.net.ConnectException;
import java.util.Locale;
import java.util.function.Consumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.socket.nio.NioSocketChannel;
import org.snowwind.http.DataLoop;

/**
 * Opens a connection and closes it at once. A VM that runs refuses it where no process
 * listens; one that is cut off or has no power says nothing, which proves nothing.
 */
public final class ConnectProbe implements ProcessProbe {

	/** Longer than any way within a region takes, in milliseconds. */
	private static final int CONNECT_MILLIS = 150;

	private static final ChannelHandler NOTHING = new ChannelInitializer<Channel>() {

		@Override
		protected void initChannel(Channel channel) {
			// No byte is sent or expected.
		}

	};

	private final Bootstrap bootstrap;

	/**
	 * Creates a probe.
	 * @param loop the thread that carries it
	 */
	public ConnectProbe(DataLoop loop) {
		this.bootstrap = new Bootstrap().group(loop.group())
			.channel(NioSocketChannel.class)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
			.handler(NOTHING);
	}

	@Override
	public void ask(String host, int port, Consumer<Boolean> gone) {
		this.bootstrap.connect(host, port).addListener((io.netty.channel.ChannelFuture connected) -> {
			if (connected.isSuccess()) {
				connected.channel().close();
			}
			gone.accept(refused(connected.cause()));
		});
	}

	private static boolean refused(Throwable cause) {
		return cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException)
				&& String.valueOf(cause.getMessage()).toLowerCase(Locale.ROOT).contains("refused");
	}

}
