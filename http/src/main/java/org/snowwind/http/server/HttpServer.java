package org.snowwind.http.server;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.GlobalEventExecutor;
import org.snowwind.http.DataLoop;
import org.snowwind.http.TurnReads;
import org.snowwind.model.MonotonicClock;
import org.snowwind.model.event.Event;
import org.snowwind.model.event.EventLog;

/**
 * Listens for HTTP/1.1 on one address.
 */
public final class HttpServer implements AutoCloseable {

	private static final int LOW_WATER_BYTES = 16 * 1024;

	private static final int HIGH_WATER_BYTES = 64 * 1024;

	private static final int BACKLOG = 1024;

	/**
	 * How long a stop waits for one step of closing the listener, in milliseconds. The
	 * step is carried out also if it takes longer.
	 */
	private static final long STOP_STEP_MILLIS = 1000;

	/** A scheduled task runs in a later pass of the event loop than its scheduling. */
	private static final long AFTER_NEXT_PASS_MILLIS = 1;

	private final DataLoop loop;

	private final HttpLimits limits;

	private final HttpHandler handler;

	private final HeldBytes heldBytes;

	private final RequestMemory requestMemory;

	private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);

	private final HalfClosedConnections halfClosed = new HalfClosedConnections();

	private final UnusedConnections unused = new UnusedConnections(MonotonicClock.system());

	private ListenerChannel listener;

	/**
	 * Creates a server that does not listen yet.
	 * @param loop the thread that carries it
	 * @param limits its bounds
	 * @param handler takes the requests
	 */
	public HttpServer(DataLoop loop, HttpLimits limits, HttpHandler handler) {
		this(loop, limits, handler, HeldBytes.unbounded());
	}

	/**
	 * Creates a server that does not listen yet and that bounds what is held for all its
	 * callers.
	 * @param loop the thread that carries it
	 * @param limits its bounds
	 * @param handler takes the requests
	 * @param heldBytes counts what is held for callers
	 */
	public HttpServer(DataLoop loop, HttpLimits limits, HttpHandler handler, HeldBytes heldBytes) {
		this(loop, limits, handler, heldBytes, RequestMemory.ofHeap(Runtime.getRuntime().maxMemory()));
	}

	/**
	 * Creates a server that does not listen yet and that bounds what is held for all its
	 * callers and what their requests take.
	 * @param loop the thread that carries it
	 * @param limits its bounds
	 * @param handler takes the requests
	 * @param heldBytes counts what is held for callers
	 * @param requestMemory bounds the memory of requests
	 */
	public HttpServer(DataLoop loop, HttpLimits limits, HttpHandler handler, HeldBytes heldBytes,
			RequestMemory requestMemory) {
		this.loop = loop;
		this.limits = limits;
		this.handler = handler;
		this.heldBytes = heldBytes;
		this.requestMemory = requestMemory;
	}

	/**
	 * Begins to listen.
	 * @param address where; port 0 takes any free port
	 * @return the address that it listens on
	 */
	public InetSocketAddress start(InetSocketAddress address) {
		ServerBootstrap bootstrap = new ServerBootstrap();
		bootstrap.group(this.loop.group());
		bootstrap.channelFactory(ListenerChannel::new);
		bootstrap.option(ChannelOption.SO_BACKLOG, BACKLOG);
		bootstrap.option(ChannelOption.SO_REUSEADDR, true);
		bootstrap.childOption(ChannelOption.TCP_NODELAY, true);
		bootstrap.childOption(ChannelOption.WRITE_BUFFER_WATER_MARK,
				new WriteBufferWaterMark(LOW_WATER_BYTES, HIGH_WATER_BYTES));
		bootstrap.childOption(ChannelOption.RCVBUF_ALLOCATOR, TurnReads.allocator());
		bootstrap.childHandler(new ChannelInitializer<SocketChannel>() {
			@Override
			protected void initChannel(SocketChannel channel) {
				initConnection(channel);
			}
		});
		this.listener = (ListenerChannel) bootstrap.bind(address).syncUninterruptibly().channel();
		return this.listener.localAddress();
	}

	/**
	 * Counts the open connections.
	 * @return how many are open
	 */
	public int connections() {
		return this.connections.size();
	}

	/**
	 * Accepts the connections that callers have established, and no more. The open
	 * connections stay open.
	 */
	public void stopListening() {
		if (this.listener == null || !this.listener.isOpen()) {
			return;
		}
		// The kernel goes on establishing connections until the listener is closed, and
		// closing is delayed to the next pass of a selector that the listener is
		// registered with. Connections that are not accepted by then are reset.
		this.listener.deregister().awaitUninterruptibly(STOP_STEP_MILLIS);
		this.listener.eventLoop()
			.schedule(this::acceptEstablishedAndClose, AFTER_NEXT_PASS_MILLIS, TimeUnit.MILLISECONDS)
			.awaitUninterruptibly(STOP_STEP_MILLIS);
	}

	private void acceptEstablishedAndClose() {
		try {
			this.listener.acceptEstablishedAndClose(BACKLOG);
		}
		catch (IOException ex) {
			EventLog.log(Event.INTERNAL_FAULT, ex, "where", "closing a listener");
		}
		this.listener.close();
	}

	/**
	 * Closes each open connection once its request is answered or, without a request,
	 * once it has been silent for a short time, so that a request on its way is answered.
	 */
	public void closeIdleConnections() {
		this.connections
			.forEach((channel) -> channel.pipeline().fireUserEventTriggered(ConnectionHandler.CLOSE_WHEN_IDLE));
	}

	@Override
	public void close() {
		stopListening();
		this.connections.close().awaitUninterruptibly(TimeUnit.SECONDS.toMillis(1));
	}

	private void initConnection(SocketChannel channel) {
		boolean full = this.connections.size() >= this.limits.maxConnections();
		if (full && !this.halfClosed.closeOldest() && !this.unused.closeOldest()) {
			channel.close();
			return;
		}
		this.connections.add(channel);
		HttpDecoderConfig decoder = new HttpDecoderConfig().setMaxInitialLineLength(this.limits.maxUriBytes())
			.setMaxHeaderSize(this.limits.maxHeaderBytes());
		PartialHead partialHead = new PartialHead();
		ConnectionHandler connection = new ConnectionHandler(this.handler, MonotonicClock.system(),
				new ConnectionBytes(channel, this.heldBytes, MonotonicClock.system()), this.requestMemory,
				this.limits.readTimeoutMillis(), partialHead);
		channel.pipeline()
			.addLast(this.halfClosed)
			.addLast(partialHead)
			.addLast(new IdleStateHandler(this.limits.readTimeoutMillis(), 0, 0, TimeUnit.MILLISECONDS))
			.addLast(new InboundGate(connection))
			.addLast(new HttpServerCodec(decoder))
			.addLast(this.unused)
			.addLast(new PacedWriter())
			.addLast(connection);
	}

}
