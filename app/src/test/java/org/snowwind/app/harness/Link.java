package org.snowwind.app.harness;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;

/**
 * A link between two processes that can be cut and delayed.
 */
public final class Link implements AutoCloseable {

	private static final int BUFFER_BYTES = 8192;

	private static final long SILENCE_POLL_MILLIS = 10;

	private final ServerSocket listener;

	private final InetSocketAddress target;

	private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

	private final Set<AtomicBoolean> openConnections = ConcurrentHashMap.newKeySet();

	private volatile boolean cut;

	private volatile long delayMillis;

	private volatile boolean silentThere;

	private volatile boolean silentBack;

	private volatile boolean twice;

	private final AtomicInteger answerHolds = new AtomicInteger();

	/**
	 * Opens a link.
	 * @param target where it leads
	 * @throws IOException if no port is free
	 */
	public Link(InetSocketAddress target) throws IOException {
		this.target = target;
		this.listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
		daemon(this::accept);
	}

	/**
	 * Returns where to connect.
	 * @return {@code IP:PORT}
	 */
	public String address() {
		return "127.0.0.1:" + this.listener.getLocalPort();
	}

	/**
	 * Cuts the link: open connections are reset, new ones refused at once.
	 */
	public void cut() {
		this.cut = true;
		this.sockets.forEach(Link::reset);
	}

	/**
	 * Heals the link.
	 */
	public void heal() {
		this.cut = false;
	}

	/**
	 * Holds back all data of a direction, as a partition does; connections stay open.
	 * @param there whether what is sent to the target is held back
	 * @param back whether what the target sends is held back
	 */
	public void silence(boolean there, boolean back) {
		this.silentThere = there;
		this.silentBack = back;
	}

	/**
	 * Drops all further data of the connections that are open now, without a reset; new
	 * connections work.
	 */
	public void silenceOpenConnections() {
		this.openConnections.forEach((silent) -> silent.set(true));
	}

	/**
	 * Holds back what the target sends, until {@link #releaseAnswers()}; the target goes
	 * on receiving. Holds that overlap end with the last one, whatever
	 * {@link #silence(boolean, boolean)} and {@link #heal()} do.
	 */
	public void holdAnswers() {
		this.answerHolds.incrementAndGet();
	}

	/**
	 * Ends a hold. After the last one, all that was held back is delivered in order.
	 */
	public void releaseAnswers() {
		this.answerHolds.decrementAndGet();
	}

	/**
	 * Delays every piece of data in both directions.
	 * @param millis by how much, in milliseconds
	 */
	public void delay(long millis) {
		this.delayMillis = millis;
	}

	/**
	 * Sends what the target answered on a connection a second time, as soon as the next
	 * request follows there or the target has closed it.
	 * @param again whether to do so
	 */
	public void answersTwice(boolean again) {
		this.twice = again;
	}

	private void accept() {
		while (!this.listener.isClosed()) {
			try {
				Socket near = this.listener.accept();
				if (this.cut) {
					reset(near);
					continue;
				}
				Socket far = new Socket(this.target.getAddress(), this.target.getPort());
				this.sockets.add(near);
				this.sockets.add(far);
				LastAnswer last = new LastAnswer(near, () -> this.twice);
				AtomicBoolean silent = new AtomicBoolean();
				this.openConnections.add(silent);
				daemon(() -> pump(near, far, () -> this.silentThere || silent.get(), last::nextRequest));
				daemon(() -> {
					pump(far, near, () -> this.silentBack || this.answerHolds.get() > 0 || silent.get(),
							last::answered);
					this.openConnections.remove(silent);
				});
			}
			catch (IOException ex) {
				// The target is down or the link is closed; the caller sees a reset.
			}
		}
	}

	private void pump(Socket from, Socket to, BooleanSupplier silent, Passed passed) {
		byte[] buffer = new byte[BUFFER_BYTES];
		try (from; to) {
			InputStream in = from.getInputStream();
			OutputStream out = to.getOutputStream();
			int count = in.read(buffer);
			while (count >= 0) {
				TimeUnit.MILLISECONDS.sleep(this.delayMillis);
				while (silent.getAsBoolean() && !from.isClosed()) {
					TimeUnit.MILLISECONDS.sleep(SILENCE_POLL_MILLIS);
				}
				out.write(buffer, 0, count);
				passed.bytes(buffer, count);
				count = in.read(buffer);
			}
			passed.bytes(buffer, 0);
		}
		catch (IOException ex) {
			// A broken pump closes both its sockets, which is the point.
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		finally {
			this.sockets.remove(from);
			this.sockets.remove(to);
		}
	}

	private static void reset(Socket socket) {
		try {
			socket.setSoLinger(true, 0);
			socket.close();
		}
		catch (IOException ex) {
			// It is closed already.
		}
	}

	private static void daemon(Runnable work) {
		Thread thread = new Thread(work, "link");
		thread.setDaemon(true);
		thread.start();
	}

	@Override
	public void close() throws IOException {
		this.listener.close();
		this.sockets.forEach(Link::reset);
	}

	/**
	 * Is told what has passed in one direction; no bytes at its end.
	 */
	@FunctionalInterface
	private interface Passed {

		void bytes(byte[] buffer, int count) throws IOException;

	}

	/**
	 * What the target has answered on one connection since the last request.
	 */
	private static final class LastAnswer {

		private final Socket near;

		private final BooleanSupplier again;

		private final ByteArrayOutputStream answer = new ByteArrayOutputStream();

		private LastAnswer(Socket near, BooleanSupplier again) {
			this.near = near;
			this.again = again;
		}

		private synchronized void answered(byte[] buffer, int count) throws IOException {
			this.answer.write(buffer, 0, count);
			if (count == 0) {
				repeat();
			}
		}

		private synchronized void nextRequest(byte[] buffer, int count) throws IOException {
			repeat();
		}

		private void repeat() throws IOException {
			if (this.again.getAsBoolean() && this.answer.size() > 0) {
				this.near.getOutputStream().write(this.answer.toByteArray());
			}
			this.answer.reset();
		}

	}

}
