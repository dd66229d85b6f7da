package org.snowwind.wire;

import java.io.IOException;
import java.util.function.BooleanSupplier;

import org.apache.thrift.TException;
import org.apache.thrift.async.AsyncMethodCallback;
import org.apache.thrift.async.TAsyncClient;
import org.apache.thrift.transport.TNonblockingTransport;

/**
 * A connection to one process that carries one call at a time and heals by itself.
 *
 * @param <C> the type of the generated client
 */
public final class ThriftLink<C extends TAsyncClient> implements AutoCloseable {

	private final Connector<C> connector;

	private Connected<C> connected;

	private boolean busy;

	/** Takes the answer to the call under way, {@code null} if there is none. */
	private Reply<?> pending;

	ThriftLink(Connector<C> connector) {
		this.connector = connector;
	}

	/**
	 * Makes a call unless one is under way.
	 * @param <T> the answer's type
	 * @param call the call
	 * @param reply takes the answer
	 * @return false if the link is busy and nothing was sent
	 */
	public <T> boolean call(ThriftCalls.Call<C, T> call, Reply<T> reply) {
		failUncarried();
		C client;
		synchronized (this) {
			if (this.busy) {
				return false;
			}
			this.busy = true;
			this.pending = reply;
			try {
				client = client();
			}
			catch (IOException | TException ex) {
				drop();
				reply.failed(ex);
				return true;
			}
		}
		make(client, call, reply);
		return true;
	}

	private void failUncarried() {
		Reply<?> uncarried;
		synchronized (this) {
			if (this.connected == null || this.connected.isCarried().getAsBoolean()) {
				return;
			}
			uncarried = this.pending;
			drop();
		}
		if (uncarried != null) {
			uncarried.failed(new IOException("the thread of the call ended before its reply"));
		}
	}

	private C client() throws IOException, TException {
		if (this.connected == null) {
			this.connected = this.connector.connect();
		}
		return this.connected.client();
	}

	private <T> void make(C client, ThriftCalls.Call<C, T> call, Reply<T> reply) {
		try {
			call.make(client, new AsyncMethodCallback<T>() {
				@Override
				public void onComplete(T answer) {
					free();
					reply.received(answer);
				}

				@Override
				public void onError(Exception cause) {
					drop();
					reply.failed(cause);
				}
			});
		}
		catch (TException | IllegalStateException ex) {
			drop();
			reply.failed(ex);
		}
	}

	private synchronized void free() {
		this.busy = false;
		this.pending = null;
	}

	private synchronized void drop() {
		this.busy = false;
		this.pending = null;
		if (this.connected != null) {
			this.connected.transport().close();
			this.connected = null;
		}
	}

	@Override
	public void close() {
		drop();
	}

	/**
	 * A client and its connection.
	 *
	 * @param <C> the client's type
	 * @param client the client
	 * @param transport the connection
	 * @param isCarried whether the thread that carries the calls is running
	 */
	record Connected<C>(C client, TNonblockingTransport transport, BooleanSupplier isCarried) {

	}

	/**
	 * Opens connections.
	 *
	 * @param <C> the client's type
	 */
	@FunctionalInterface
	interface Connector<C> {

		/**
		 * Opens one.
		 * @return the client and its connection
		 * @throws IOException if it cannot be opened
		 * @throws TException if it cannot be set up
		 */
		Connected<C> connect() throws IOException, TException;

	}

}
