package org.snowwind.standin;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Queue;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A server that plays one script for each connection, byte by byte, in the order in which
 * connections come; a connection without a script is closed.
 *
 * <p>
 * Unlike a script for each request it can say what comes behind an answer, before the
 * next request, or behind it.
 */
public final class ScriptedPeer implements AutoCloseable {

	private static final int BACKLOG = 50;

	private final ServerSocket listener;

	private final Queue<Script> scripts = new ConcurrentLinkedQueue<>();

	private final List<Request> received = new CopyOnWriteArrayList<>();

	private final List<Socket> sockets = new CopyOnWriteArrayList<>();

	/**
	 * Listens on any free port of loopback.
	 */
	public ScriptedPeer() {
		try {
			this.listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		daemon(this::acceptAll);
	}

	private static void daemon(Runnable work) {
		Thread thread = new Thread(work, "scripted-peer");
		thread.setDaemon(true);
		thread.start();
	}

	/**
	 * Adds the script of one more connection.
	 * @param script what is done on it
	 */
	public void next(Script script) {
		this.scripts.add(script);
	}

	/**
	 * Returns where it listens.
	 * @return an address of loopback
	 */
	public InetSocketAddress address() {
		return (InetSocketAddress) this.listener.getLocalSocketAddress();
	}

	/**
	 * Returns the requests that have arrived on all connections.
	 * @return in the order of their arrival
	 */
	public List<Request> received() {
		return List.copyOf(this.received);
	}

	private void acceptAll() {
		while (!this.listener.isClosed()) {
			try {
				Socket socket = this.listener.accept();
				this.sockets.add(socket);
				Script script = this.scripts.poll();
				daemon(() -> play(script, socket));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void play(Script script, Socket socket) {
		try (socket) {
			if (script != null) {
				script.play(new Connection(socket, this.received));
			}
		}
		catch (IOException ex) {
			// The other side has closed the connection, which is what some scripts wait
			// for.
		}
	}

	@Override
	public void close() {
		try {
			this.listener.close();
			for (Socket socket : this.sockets) {
				socket.close();
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * What is done on one connection.
	 */
	@FunctionalInterface
	public interface Script {

		/**
		 * Plays the script; the connection is closed afterwards.
		 * @param connection the connection
		 * @throws IOException if the other side has closed it
		 */
		void play(Connection connection) throws IOException;

	}

	/**
	 * A request as it arrived.
	 *
	 * @param line its first line
	 * @param headers its headers by lower-case name
	 * @param body its body
	 */
	public record Request(String line, Map<String, String> headers, String body) {

		/**
		 * Copies the headers.
		 */
		public Request {
			headers = Map.copyOf(headers);
		}

	}

	/**
	 * One connection, for its script.
	 */
	public static final class Connection {

		private final Socket socket;

		private final InputStream in;

		private final List<Request> received;

		private Connection(Socket socket, List<Request> received) throws IOException {
			this.socket = socket;
			this.in = new BufferedInputStream(socket.getInputStream());
			this.received = received;
		}

		/**
		 * Waits for the next request.
		 * @return the request; {@code null} if the other side has closed the connection
		 * @throws IOException if it has reset it
		 */
		public Request request() throws IOException {
			String line = readLine();
			if (line.isEmpty()) {
				return null;
			}
			Map<String, String> headers = new TreeMap<>();
			for (String header = readLine(); !header.isEmpty(); header = readLine()) {
				int colon = header.indexOf(':');
				headers.put(header.substring(0, colon).toLowerCase(Locale.ROOT), header.substring(colon + 1).strip());
			}
			int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
			Request request = new Request(line, headers,
					new String(this.in.readNBytes(length), StandardCharsets.UTF_8));
			this.received.add(request);
			return request;
		}

		private String readLine() throws IOException {
			ByteArrayOutputStream line = new ByteArrayOutputStream();
			for (int next = this.in.read(); next >= 0 && next != '\n'; next = this.in.read()) {
				line.write(next);
			}
			return line.toString(StandardCharsets.UTF_8).strip();
		}

		/**
		 * Sends bytes as they are, in one write.
		 * @param text the bytes
		 * @throws IOException if the other side has closed the connection
		 */
		public void send(String text) throws IOException {
			this.socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
		}

		/**
		 * Sends a part of a chunked answer.
		 * @param text the part
		 * @throws IOException if the other side has closed the connection
		 */
		public void chunk(String text) throws IOException {
			send(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
		}

		/**
		 * Waits until the other side closes the connection; further requests are read
		 * away.
		 * @throws IOException if it has reset it
		 */
		public void awaitClosed() throws IOException {
			Request more = request();
			while (more != null) {
				more = request();
			}
		}

		/**
		 * Resets the connection.
		 * @throws IOException if it cannot be closed
		 */
		public void reset() throws IOException {
			this.socket.setSoLinger(true, 0);
			this.socket.close();
		}

	}

}
