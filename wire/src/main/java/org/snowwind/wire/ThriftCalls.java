package org.snowwind.wire;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;

import org.apache.thrift.TException;
import org.apache.thrift.async.AsyncMethodCallback;
import org.apache.thrift.async.TAsyncClient;
import org.apache.thrift.async.TAsyncClientManager;
import org.apache.thrift.protocol.TProtocolFactory;
import org.apache.thrift.transport.TNonblockingTransport;
import org.snowwind.model.event.Event;
import org.snowwind.model.event.EventLog;

/**
 * The one thread that carries all control calls that a process makes.
 *
 * <p>
 * The thread ends on any {@link Error}, for example when there is no memory for a reply.
 * The next call starts another one, and links whose calls it carried connect again.
 */
public final class ThriftCalls implements AutoCloseable {

	/** The largest reply that holds a whole configuration, in bytes. */
	public static final int DOCUMENT_BYTES = 16_000_000;

	private final int maxReplyBytes;

	private TAsyncClientManager manager;

	private boolean closed;

	/**
	 * Starts the thread.
	 * @param maxReplyBytes the largest reply, in bytes
	 */
	public ThriftCalls(int maxReplyBytes) {
		this.maxReplyBytes = maxReplyBytes;
		try {
			this.manager = new TAsyncClientManager();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Returns a link to one process.
	 * @param <C> the type of the generated client
	 * @param address the process's control address
	 * @param factory creates the generated client
	 * @param timeoutMillis how long a call may take, in milliseconds
	 * @return a link that connects when it is first used
	 */
	public <C extends TAsyncClient> ThriftLink<C> link(InetSocketAddress address, ClientFactory<C> factory,
			long timeoutMillis) {
		return new ThriftLink<>(() -> {
			TNonblockingTransport transport = new LimitedReplies(address, this.maxReplyBytes);
			TAsyncClientManager carrier = runningManager();
			C client = factory.create(new NumberedCalls(this.maxReplyBytes), carrier, transport);
			client.setTimeout(timeoutMillis);
			return new ThriftLink.Connected<>(client, transport, carrier::isRunning);
		});
	}

	private synchronized TAsyncClientManager runningManager() throws IOException {
		if (!this.closed && !this.manager.isRunning()) {
			this.manager = new TAsyncClientManager();
			EventLog.log(Event.INTERNAL_FAULT, "where", "the thread of control calls ended and was started again");
		}
		return this.manager;
	}

	@Override
	public synchronized void close() {
		this.closed = true;
		this.manager.stop();
	}

	/**
	 * Creates a generated client.
	 *
	 * @param <C> its type
	 */
	@FunctionalInterface
	public interface ClientFactory<C> {

		/**
		 * Creates the client.
		 * @param protocols the encoding
		 * @param manager the calls' thread
		 * @param transport the connection
		 * @return the client
		 */
		C create(TProtocolFactory protocols, TAsyncClientManager manager, TNonblockingTransport transport);

	}

	/**
	 * One call on a generated client.
	 *
	 * @param <C> the client's type
	 * @param <T> the answer's type
	 */
	@FunctionalInterface
	public interface Call<C, T> {

		/**
		 * Makes the call.
		 * @param client the client
		 * @param callback takes the answer
		 * @throws TException if the call cannot be made
		 */
		void make(C client, AsyncMethodCallback<T> callback) throws TException;

	}

}
