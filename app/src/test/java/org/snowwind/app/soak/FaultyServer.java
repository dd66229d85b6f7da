package org.snowwind.app.soak;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

import org.snowwind.platform.standin.Answers;
import org.snowwind.platform.standin.CallerHeaders;
import org.snowwind.platform.standin.RegistryEntry;
import org.snowwind.platform.standin.Run;
import org.snowwind.platform.standin.StoreStandIn;

/**
 * A server in trouble: its answers have no end, and it sends until its caller closes the
 * connection, or they are not valid.
 */
final class FaultyServer implements AutoCloseable {

	private static final int REPEATS = 64;

	private static final int SLOTS = 8;

	/** The link of a VM of the users carries a gigabit per second. */
	private static final long NANOS_PER_BYTE = 8;

	private final AtomicLong linkFreeNanos = new AtomicLong(System.nanoTime());

	private final ServerSocket listener = new ServerSocket(0, 1000, InetAddress.getLoopbackAddress());

	private final Queue<Sent> sent = new ConcurrentLinkedQueue<>();

	private final Queue<Socket> connections = new ConcurrentLinkedQueue<>();

	private final Queue<Run> runs = new ConcurrentLinkedQueue<>();

	private final StoreStandIn store;

	private final String service;

	private final String id;

	private final FaultyAnswer answer;

	/**
	 * Starts a server and registers it in the store.
	 * @param store the store
	 * @param service its service
	 * @param id the id of this run
	 * @param answer how it answers
	 * @throws IOException if no port is free
	 */
	FaultyServer(StoreStandIn store, String service, String id, FaultyAnswer answer) throws IOException {
		this.store = store;
		this.service = service;
		this.id = id;
		this.answer = answer;
		daemon("faulty-accept", this::accept);
		store.put(RegistryEntry.KIND, id,
				RegistryEntry.of(service, "127.0.0.1:" + this.listener.getLocalPort(), "dc", SLOTS, "ready"));
	}

	/**
	 * Lists what was sent on each connection with a request.
	 * @return the connections that are closed
	 */
	Queue<Sent> sent() {
		return this.sent;
	}

	/**
	 * Lists the requests that have reached it.
	 * @return the requests so far, in order
	 */
	List<Run> runs() {
		return List.copyOf(this.runs);
	}

	private void accept() {
		while (!this.listener.isClosed()) {
			try {
				Socket connection = this.listener.accept();
				this.connections.add(connection);
				daemon("faulty-answer", () -> serve(connection));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void serve(Socket connection) {
		String requestId = "";
		long bytes = 0;
		long startNanos = System.nanoTime();
		try (connection) {
			Run run = readRequest(new BufferedInputStream(connection.getInputStream()));
			requestId = run.requestId();
			this.runs.add(run);
			OutputStream out = connection.getOutputStream();
			out.write(this.answer.start(requestId, Answers.signature(this.id, requestId),
					run.target().contains("/stream")));
			byte[] more = repeated();
			while (more.length > 0) {
				awaitLink(more.length);
				out.write(more);
				bytes += more.length;
			}
		}
		catch (IOException ex) {
			// The caller has closed the connection, which ends the answer.
		}
		if (!requestId.isEmpty()) {
			this.sent.add(new Sent(requestId, bytes, System.nanoTime() - startNanos));
		}
	}

	// All connections share the link of the VM.
	private void awaitLink(int bytes) {
		long freeNanos = this.linkFreeNanos
			.updateAndGet((before) -> Math.max(before, System.nanoTime()) + bytes * NANOS_PER_BYTE);
		LockSupport.parkNanos(freeNanos - System.nanoTime());
	}

	private Run readRequest(InputStream in) throws IOException {
		String[] first = readLine(in).split(" ");
		if (first.length < 2) {
			throw new IOException("the connection ended before a request");
		}
		Map<String, String> headers = new HashMap<>();
		for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
			int colon = line.indexOf(':');
			headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
		}
		byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
		return new Run(CallerHeaders.requestId(headers), this.service, this.id, first[0], first[1],
				new String(body, StandardCharsets.UTF_8), CallerHeaders.organisation(headers),
				headers.containsKey("authorization"), List.of(), System.nanoTime());
	}

	private byte[] repeated() {
		ByteArrayOutputStream repeats = new ByteArrayOutputStream();
		for (int i = 0; i < REPEATS; i++) {
			repeats.writeBytes(this.answer.repeated());
		}
		return repeats.toByteArray();
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

	// An answer without a length that ends with its connection would be complete.
	private static void reset(Socket connection) throws IOException {
		try {
			connection.setSoLinger(true, 0);
			connection.close();
		}
		catch (SocketException ex) {
			// The answer has ended, which closes its connection.
		}
	}

	@Override
	public void close() throws IOException {
		this.store.remove(RegistryEntry.KIND, this.id);
		this.listener.close();
		for (Socket connection : this.connections) {
			reset(connection);
		}
	}

	/**
	 * What was sent on one connection.
	 *
	 * @param requestId the request
	 * @param bytes how many bytes of the answer were handed to the connection
	 * @param nanos how long it took until the caller closed the connection, in
	 * nanoseconds
	 */
	record Sent(String requestId, long bytes, long nanos) {

	}

}
