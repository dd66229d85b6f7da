package org.snowwind.http.client;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A server over real sockets that writes what a test says, also what no server should.
 */
final class ScriptedServer implements AutoCloseable {

	private static final int BACKLOG = 50;

	private final ServerSocket socket;

	private final Script script;

	private final List<Socket> accepted = new CopyOnWriteArrayList<>();

	ScriptedServer(Script script) throws IOException {
		this.socket = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
		this.script = script;
		start("scripted-accept", this::accept);
	}

	private static void start(String name, Runnable work) {
		Thread thread = new Thread(work, name);
		thread.setDaemon(true);
		thread.start();
	}

	String url() {
		return "http://127.0.0.1:" + this.socket.getLocalPort();
	}

	int connections() {
		return this.accepted.size();
	}

	private void accept() {
		try {
			while (true) {
				Socket connection = this.socket.accept();
				this.accepted.add(connection);
				int number = this.accepted.size();
				start("scripted-" + number, () -> serve(connection, number));
			}
		}
		catch (IOException ex) {
			// The test has closed the server.
		}
	}

	private void serve(Socket connection, int number) {
		try (connection) {
			this.script.serve(new Connection(connection, number));
		}
		catch (IOException ex) {
			// The client has closed the connection, which tests see at the client.
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	static String answer(int status, String body) {
		return "HTTP/1.1 " + status + " Scripted\r\nContent-Type: application/json\r\nContent-Length: " + body.length()
				+ "\r\n\r\n" + body;
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
		for (Socket connection : this.accepted) {
			connection.close();
		}
	}

	/**
	 * What a server does on one connection.
	 */
	@FunctionalInterface
	interface Script {

		void serve(Connection connection) throws IOException, InterruptedException;

	}

	/**
	 * One accepted connection.
	 *
	 * @param socket the connection
	 * @param number which one it is, from 1
	 */
	record Connection(Socket socket, int number) {

		/**
		 * Reads the head of the next request, which must have no body.
		 * @return the path that it asks for, {@code null} once the client has closed
		 */
		String nextPath() throws IOException {
			StringBuilder head = new StringBuilder();
			while (head.indexOf("\r\n\r\n") < 0) {
				int next = this.socket.getInputStream().read();
				if (next < 0) {
					return null;
				}
				head.append((char) next);
			}
			return head.substring(head.indexOf(" ") + 1, head.indexOf(" ", head.indexOf(" ") + 1));
		}

		/**
		 * Reads what comes until nothing comes for the socket's time-out.
		 * @return what came
		 */
		String readUntilSilent() throws IOException {
			StringBuilder text = new StringBuilder();
			try {
				for (int next = this.socket.getInputStream().read(); next >= 0; next = this.socket.getInputStream()
					.read()) {
					text.append((char) next);
				}
			}
			catch (SocketTimeoutException ex) {
				this.socket.setSoTimeout(0);
			}
			return text.toString();
		}

		void write(String text) throws IOException {
			this.socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
			this.socket.getOutputStream().flush();
		}

	}

}
