package org.snowwind.app.harness;

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

	private volatile boolean cut;

	private volatile long delayMillis;

	private volatile boolean silentThere;

	private volatile boolean silentBack;

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
	 * Delays every piece of data in both directions.
	 * @param millis by how much, in milliseconds
	 */
	public void delay(long millis) {
		this.delayMillis = millis;
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
				daemon(() -> pump(near, far, () -> this.silentThere));
				daemon(() -> pump(far, near, () -> this.silentBack));
			}
			catch (IOException ex) {
				// The target is down or the link is closed; the caller sees a reset.
			}
		}
	}

	private void pump(Socket from, Socket to, BooleanSupplier silent) {
		byte[] buffer = new byte[BUFFER_BYTES];
		try (from; to) {
			InputStream in = from.getInputStream();
			OutputStream out = to.getOutputStream();
			int count = in.read(buffer);
			while (count >= 0) {
				TimeUnit.MILLISECONDS.sleep(this.delayMillis);
				while (silent.getAsBoolean()) {
					TimeUnit.MILLISECONDS.sleep(SILENCE_POLL_MILLIS);
				}
				out.write(buffer, 0, count);
				count = in.read(buffer);
			}
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

}
