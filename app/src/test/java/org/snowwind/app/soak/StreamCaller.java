package org.snowwind.app.soak;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.snowwind.platform.standin.Answers;
import org.snowwind.platform.standin.CallerHeaders;

/**
 * A caller that sends one request after another over a connection that it keeps until the
 * gateway closes it.
 */
final class StreamCaller implements Runnable {

	private static final int MAX_READ_MILLIS = 15_000;

	private static final long RECONNECT_MILLIS = 50;

	/** The time between two plain requests, which would otherwise outnumber streams. */
	private static final long PLAIN_INTERVAL_MILLIS = 500;

	private final SilenceWorld world;

	private final int home;

	private final String path;

	private final int maxPauseMillis;

	private Socket socket;

	private InputStream in;

	private int gateway;

	/**
	 * Creates a caller.
	 * @param world where to send requests, and what takes the results
	 * @param home the index of the gateway that it uses while that is in service
	 * @param path the path of its requests
	 * @param maxPauseMillis how long an answer may pause before the caller closes the
	 * connection and continues once elsewhere, in milliseconds; 0 if it always waits
	 */
	StreamCaller(SilenceWorld world, int home, String path, int maxPauseMillis) {
		this.world = world;
		this.home = home;
		this.path = path;
		this.maxPauseMillis = maxPauseMillis;
	}

	@Override
	public void run() {
		try {
			while (this.world.isCalling()) {
				if (connect()) {
					StreamCall call = exchange(0, false);
					this.world.record(call);
					if (call.ending() == StreamCall.Ending.LEFT && connect()) {
						this.world.record(exchange(call.events(), true));
					}
					TimeUnit.MILLISECONDS.sleep(call.stream() ? 0 : PLAIN_INTERVAL_MILLIS);
				}
				else {
					TimeUnit.MILLISECONDS.sleep(RECONNECT_MILLIS);
				}
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		finally {
			disconnect();
		}
	}

	/**
	 * Sends one request that does not count.
	 * @return true if it is answered in full
	 */
	boolean isServed() {
		try {
			return open(this.home) && exchange(0, false).isComplete();
		}
		finally {
			disconnect();
		}
	}

	private boolean connect() {
		int wanted = this.world.inService(this.home) ? this.home : this.world.otherGateway(this.home);
		if (this.socket != null && this.gateway != this.home && wanted == this.home) {
			disconnect();
		}
		if (this.socket != null) {
			return true;
		}
		return open(wanted);
	}

	private boolean open(int wanted) {
		Socket opened = new Socket();
		try {
			opened.connect(this.world.callersAddress(wanted));
			opened.setTcpNoDelay(true);
			this.in = new BufferedInputStream(opened.getInputStream());
			this.socket = opened;
			this.gateway = wanted;
			return true;
		}
		catch (IOException ex) {
			// The gateway is being started.
			return false;
		}
	}

	private void disconnect() {
		if (this.socket != null) {
			try {
				this.socket.close();
			}
			catch (IOException ex) {
				throw new IllegalStateException("a caller's connection cannot be closed", ex);
			}
			this.socket = null;
		}
	}

	private StreamCall exchange(int after, boolean secondTry) {
		boolean stream = this.path.equals(SilenceWorld.STREAMS);
		Answer answer = new Answer(this.world.nextId(), stream, secondTry);
		StreamCall.Ending ending;
		try {
			this.socket.setSoTimeout((this.maxPauseMillis > 0 && !secondTry) ? this.maxPauseMillis : MAX_READ_MILLIS);
			this.socket.getOutputStream().write(request(answer.id, after).getBytes(StandardCharsets.ISO_8859_1));
			boolean kept = answer.read(this.in);
			ending = answer.matches(after) ? StreamCall.Ending.WHOLE : StreamCall.Ending.WRONG;
			if (!kept) {
				disconnect();
			}
		}
		catch (SocketTimeoutException ex) {
			ending = StreamCall.Ending.LEFT;
			disconnect();
		}
		catch (IOException ex) {
			ending = StreamCall.Ending.CUT;
			disconnect();
		}
		return answer.ended(this.gateway, ending);
	}

	private String request(String id, int after) {
		Map<String, String> headers = new HashMap<>(
				CallerHeaders.of(id, SilenceWorld.TIMEOUT_MILLIS, SilenceWorld.KEY));
		if (after > 0) {
			headers.putAll(CallerHeaders.continuing(after));
		}
		StringBuilder request = new StringBuilder("GET " + this.path + "x?n=" + id + " HTTP/1.1\r\n");
		headers.forEach((name, value) -> request.append(name).append(": ").append(value).append("\r\n"));
		return request.append("Host: " + SilenceWorld.HOST + "\r\n\r\n").toString();
	}

	/** One answer as it arrives. */
	private static final class Answer {

		private static final int OK = 200;

		private final String id;

		private final boolean stream;

		private final boolean secondTry;

		private final long sentNanos = System.nanoTime();

		private final StringBuilder body = new StringBuilder();

		private long lastEventNanos = this.sentNanos;

		private long pauseNanos;

		private int status;

		private int events;

		private Answer(String id, boolean stream, boolean secondTry) {
			this.id = id;
			this.stream = stream;
			this.secondTry = secondTry;
		}

		// Returns whether the connection is kept.
		private boolean read(InputStream in) throws IOException {
			this.status = Integer.parseInt(readLine(in).split(" ")[1]);
			Map<String, String> headers = new HashMap<>();
			for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
				int colon = line.indexOf(':');
				headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
			}
			if (headers.containsKey("content-length")) {
				append(readBytes(in, Integer.parseInt(headers.get("content-length"))));
			}
			else {
				readChunks(in);
			}
			return !"close".equalsIgnoreCase(headers.get("connection"));
		}

		private void readChunks(InputStream in) throws IOException {
			int size = Integer.parseInt(readLine(in), 16);
			while (size > 0) {
				append(readBytes(in, size));
				readLine(in);
				size = Integer.parseInt(readLine(in), 16);
			}
			readLine(in);
		}

		private void append(String text) {
			this.body.append(text);
			if (this.status != OK) {
				return;
			}
			long nowNanos = System.nanoTime();
			this.pauseNanos = Math.max(this.pauseNanos, nowNanos - this.lastEventNanos);
			this.lastEventNanos = nowNanos;
			this.events = this.stream ? (int) this.body.toString().lines().filter(String::isEmpty).count() : 0;
		}

		private boolean matches(int after) {
			String expected = this.stream ? PausableServer.streamAfter(this.id, after) : Answers.plain(this.id);
			return this.status != OK || this.body.toString().equals(expected);
		}

		private StreamCall ended(int gateway, StreamCall.Ending ending) {
			long nowNanos = System.nanoTime();
			return new StreamCall(this.id, this.stream, this.secondTry, gateway, this.sentNanos, this.lastEventNanos,
					nowNanos, this.status, this.events, Math.max(this.pauseNanos, nowNanos - this.lastEventNanos),
					ending);
		}

		private static String readBytes(InputStream in, int count) throws IOException {
			byte[] bytes = in.readNBytes(count);
			if (bytes.length < count) {
				throw new EOFException("the connection ended within an answer");
			}
			return new String(bytes, StandardCharsets.ISO_8859_1);
		}

		private static String readLine(InputStream in) throws IOException {
			StringBuilder line = new StringBuilder();
			int next = in.read();
			while (next != '\n') {
				if (next < 0) {
					throw new EOFException("the connection ended within an answer");
				}
				line.append((char) next);
				next = in.read();
			}
			return line.toString().strip();
		}

	}

}
