package org.snowwind.app.soak;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.locks.LockSupport;

import org.snowwind.platform.standin.AnswerHead;
import org.snowwind.platform.standin.Answers;
import org.snowwind.platform.standin.CallerHeaders;
import org.snowwind.platform.standin.RegistryEntry;
import org.snowwind.platform.standin.StoreStandIn;

/**
 * A sound server that can be paused: it takes requests and works on, but sends nothing
 * until it is resumed. Then it sends what it held back.
 */
final class PausableServer implements AutoCloseable {

	/** The number of events of a stream. */
	static final int EVENTS = 60;

	/** The interval between two events of a stream, in milliseconds. */
	static final long EVENT_INTERVAL_MILLIS = 50;

	private static final long WORK_MILLIS = 25;

	private static final int SLOTS = 8;

	private final ServerSocket listener = new ServerSocket(0, 1000, InetAddress.getLoopbackAddress());

	private final Queue<Socket> connections = new ConcurrentLinkedQueue<>();

	private final Queue<String> arrivals = new ConcurrentLinkedQueue<>();

	private final Object pauseLock = new Object();

	private final StoreStandIn store;

	private final String id;

	private boolean paused;

	/**
	 * Starts a server and registers it in the store.
	 * @param store the store
	 * @param service its service
	 * @param id the id of this run
	 * @throws IOException if no port is free
	 */
	PausableServer(StoreStandIn store, String service, String id) throws IOException {
		this.store = store;
		this.id = id;
		daemon("pausable-accept", this::accept);
		store.put(RegistryEntry.KIND, id,
				RegistryEntry.of(service, "127.0.0.1:" + this.listener.getLocalPort(), "dc", SLOTS, "ready"));
	}

	/**
	 * Returns the events of a stream that follow a position.
	 * @param requestId the request's id
	 * @param after the id of the last event that the caller has, 0 for none
	 * @return the rest of the stream
	 */
	static String streamAfter(String requestId, int after) {
		StringBuilder rest = new StringBuilder();
		for (int number = after + 1; number <= EVENTS; number++) {
			rest.append(event(requestId, number));
		}
		return rest.toString();
	}

	private static String event(String requestId, int number) {
		return "id: " + number + "\ndata: " + requestId + " part " + number + "\n\n";
	}

	/**
	 * Lists the requests that have reached it.
	 * @return the requests' ids, in order of arrival
	 */
	List<String> arrivals() {
		return List.copyOf(this.arrivals);
	}

	/** Holds back all output until {@link #resume()}. */
	void pause() {
		synchronized (this.pauseLock) {
			this.paused = true;
		}
	}

	/** Sends what was held back and all further output. */
	void resume() {
		synchronized (this.pauseLock) {
			this.paused = false;
			this.pauseLock.notifyAll();
		}
	}

	private void awaitResumed() throws IOException {
		synchronized (this.pauseLock) {
			try {
				while (this.paused) {
					this.pauseLock.wait();
				}
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				throw new IOException("interrupted while paused", ex);
			}
		}
	}

	private void accept() {
		while (!this.listener.isClosed()) {
			try {
				Socket connection = this.listener.accept();
				connection.setTcpNoDelay(true);
				this.connections.add(connection);
				daemon("pausable-answer", () -> serve(connection));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void serve(Socket connection) {
		try (connection) {
			InputStream in = new BufferedInputStream(connection.getInputStream());
			OutputStream out = connection.getOutputStream();
			String target = readTarget(in);
			while (!target.isEmpty()) {
				Map<String, String> headers = readHeaders(in);
				in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
				String requestId = CallerHeaders.requestId(headers);
				this.arrivals.add(requestId);
				long startNanos = System.nanoTime() + WORK_MILLIS * 1_000_000;
				if (target.contains("/stream")) {
					sendStream(out, requestId, Integer.parseInt(headers.getOrDefault("last-event-id", "0")),
							startNanos);
				}
				else {
					String body = Answers.plain(requestId);
					send(out, head(requestId, "text/plain", "Content-Length: " + body.length()) + body, startNanos);
				}
				target = readTarget(in);
			}
		}
		catch (IOException ex) {
			// The caller has closed the connection, which ends the answer.
		}
		finally {
			this.connections.remove(connection);
		}
	}

	private void sendStream(OutputStream out, String requestId, int after, long startNanos) throws IOException {
		send(out, head(requestId, "text/event-stream", "Transfer-Encoding: chunked"), startNanos);
		long dueNanos = startNanos;
		for (int number = after + 1; number <= EVENTS; number++) {
			String event = event(requestId, number);
			send(out, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n", dueNanos);
			dueNanos += EVENT_INTERVAL_MILLIS * 1_000_000;
		}
		send(out, "0\r\n\r\n", dueNanos);
	}

	private void send(OutputStream out, String text, long dueNanos) throws IOException {
		for (long waitNanos = dueNanos - System.nanoTime(); waitNanos > 0; waitNanos = dueNanos - System.nanoTime()) {
			LockSupport.parkNanos(waitNanos);
		}
		awaitResumed();
		out.write(text.getBytes(StandardCharsets.ISO_8859_1));
	}

	private String head(String requestId, String contentType, String framing) {
		return AnswerHead.signed(requestId, Answers.signature(this.id, requestId), contentType) + framing + "\r\n\r\n";
	}

	private static String readTarget(InputStream in) throws IOException {
		String[] words = readLine(in).split(" ");
		return (words.length > 1) ? words[1] : "";
	}

	private static Map<String, String> readHeaders(InputStream in) throws IOException {
		Map<String, String> headers = new HashMap<>();
		for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
			int colon = line.indexOf(':');
			headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
		}
		return headers;
	}

	private static String readLine(InputStream in) throws IOException {
		StringBuilder line = new StringBuilder();
		for (int next = in.read(); next >= 0 && next != '\n'; next = in.read()) {
			line.append((char) next);
		}
		return line.toString().strip();
	}

	private static void daemon(String name, Runnable work) {
		Thread thread = new Thread(work, name);
		thread.setDaemon(true);
		thread.start();
	}

	@Override
	public void close() throws IOException {
		this.store.remove(RegistryEntry.KIND, this.id);
		this.listener.close();
		resume();
		for (Socket connection : this.connections) {
			connection.close();
		}
	}

}
