package org.snowwind.wire;

import java.net.InetSocketAddress;

import org.apache.thrift.TProcessor;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.server.THsHaServer;
import org.apache.thrift.transport.TTransportException;
import org.apache.thrift.transport.layered.TFramedTransport;
import org.snowwind.model.MonotonicClock;
import org.snowwind.model.event.Event;
import org.snowwind.model.event.EventLog;

/**
 * Listens for control calls of other processes of the fleet.
 *
 * <p>
 * The selector thread ends on any {@link Error}, for example when there is no memory for
 * a frame. Its connections are closed then, and the server listens again on the same
 * port.
 */
public final class ThriftServer implements AutoCloseable {

	private static final int WORKERS = 2;

	/**
	 * How long the calls that have been read may take once the selector thread has ended,
	 * in seconds.
	 */
	private static final int LAST_CALLS_SECONDS = 1;

	/** The pause before the server listens again, in milliseconds. */
	private static final long RESTART_MILLIS = 100;

	private final TProcessor processor;

	private final ControlLimits limits;

	private final MonotonicClock clock;

	private final InetSocketAddress address;

	private final String name;

	private final Thread thread;

	private ControlConnections connections;

	private THsHaServer server;

	private boolean closed;

	/**
	 * Begins to listen.
	 * @param address where; port 0 takes any free port
	 * @param processor takes the calls
	 * @param name names the threads
	 * @param limits limits what callers can make it hold
	 * @throws TTransportException if the address cannot be had
	 */
	public ThriftServer(InetSocketAddress address, TProcessor processor, String name, ControlLimits limits)
			throws TTransportException {
		this(address, processor, name, limits, MonotonicClock.system());
	}

	ThriftServer(InetSocketAddress address, TProcessor processor, String name, ControlLimits limits,
			MonotonicClock clock) throws TTransportException {
		this.processor = processor;
		this.limits = limits;
		this.clock = clock;
		this.name = name;
		listen(address);
		this.address = new InetSocketAddress(address.getAddress(), this.connections.getPort());
		this.thread = new Thread(this::run, name);
		this.thread.setDaemon(true);
		this.thread.start();
	}

	private synchronized void listen(InetSocketAddress where) throws TTransportException {
		if (this.closed) {
			return;
		}
		this.connections = new ControlConnections(where, this.limits, this.clock);
		THsHaServer.Args args = new THsHaServer.Args(this.connections);
		args.processor(this.processor);
		args.protocolFactory(new TCompactProtocol.Factory(this.limits.maxFrameBytes(), ControlLimits.MAX_ELEMENTS));
		args.transportFactory(new TFramedTransport.Factory(this.limits.maxFrameBytes()));
		args.minWorkerThreads(WORKERS);
		args.maxWorkerThreads(WORKERS);
		args.stopTimeoutVal(LAST_CALLS_SECONDS);
		args.maxReadBufferBytes = this.limits.maxTotalBytes();
		this.server = new THsHaServer(args);
	}

	private void run() {
		boolean listening = true;
		while (!isClosed()) {
			try {
				if (listening) {
					this.server.serve();
					listening = false;
				}
				restart();
				listening = true;
			}
			catch (TTransportException | RuntimeException | Error ex) {
				listening = false;
				log(ex);
			}
		}
	}

	private void restart() throws TTransportException {
		if (isClosed()) {
			return;
		}
		this.connections.closeAll();
		log(null);
		pause();
		listen(this.address);
	}

	// Logging allocates memory.
	private void log(Throwable cause) {
		try {
			EventLog.log(Event.INTERNAL_FAULT, cause, "thread", this.name, "where", "the selector thread ended");
		}
		catch (RuntimeException | Error ex) {
			// The restart does not depend on it.
		}
	}

	private void pause() {
		try {
			Thread.sleep(RESTART_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private synchronized boolean isClosed() {
		return this.closed;
	}

	/**
	 * Returns the port.
	 * @return the port that it listens on
	 */
	public int port() {
		return this.address.getPort();
	}

	@Override
	public synchronized void close() {
		this.closed = true;
		this.server.stop();
		this.connections.close();
	}

}
