import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiConsumer;

/**
 * A sound server of an application: it runs a request once for each time that it gets it,
 * with a fixed number of places, and rejects what was meant for another server.
 */
final class Server {

	private static final int SLOTS = 6;

	private static final int QUEUE = 6;

	/** Requests for these paths are answered with a stream of events. */
	private static final String STREAMS = "/draft/";

	private static final int EVENTS = 10;

	final String id;

	private final ServerSocket listener;

	private final Rig.Record record;

	private final long workMillis;

	private final int weights;

	private final AtomicInteger running = new AtomicInteger();

	private BiConsumer<String, String> whenRun = (attempt, tenant) -> {
	};

	private long seq;

	Server(String id, long workMillis, int weights, Rig.Record record) throws IOException {
		this.id = id;
		this.workMillis = workMillis;
		this.weights = weights;
		this.record = record;
		this.listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
		Rig.daemon("server " + id, () -> {
			while (true) {
				Socket caller = this.listener.accept();
				Rig.daemon("call of " + id, () -> serve(caller));
			}
		});
	}

	/** Tells of each run: the attempt's id and the value of X-Tenant. */
	void onRun(BiConsumer<String, String> told) {
		this.whenRun = told;
	}

	Map<String, Object> entry(String service) {
		return Json.of("service", service, "address", "127.0.0.1:" + this.listener.getLocalPort(), "zone", "zone-a",
				"version", "v1", "slots", SLOTS, "state", "ready", "warmupRemainingMs", 0, "seq", ++this.seq);
	}

	private void serve(Socket caller) throws Exception {
		try (caller) {
			caller.setTcpNoDelay(true);
			BufferedInputStream in = new BufferedInputStream(caller.getInputStream());
			OutputStream out = caller.getOutputStream();
			while (true) {
				Http.Message request = Http.read(in, false);
				out.write(answer(request, out));
				out.flush();
			}
		}
		catch (IOException ex) {
			// The caller has left.
		}
	}

	// Returns what is left to be written: the whole answer, or the end of a stream.
	private byte[] answer(Http.Message request, OutputStream out) throws IOException, InterruptedException {
		Map<String, String> headers = new LinkedHashMap<>();
		headers.put("X-Instance-Id", this.id);
		if (request.word(1).equals("/health")) {
			return Http.message("HTTP/1.1 200 OK", headers, new byte[0]);
		}
		String attempt = request.header("X-Attempt-Id");
		if (attempt == null) {
			headers.put("X-Not-Executed", "1");
			return Http.message("HTTP/1.1 400 Bad Request", headers, new byte[0]);
		}
		headers.put("X-Attempt-Id", attempt);
		String expected = request.header("X-Expect-Instance");
		String version = request.header("X-Expect-Version");
		if ((expected != null && !expected.equals(this.id))
				|| (version != null && !version.equals(String.valueOf(this.weights)))) {
			this.record.line("server " + this.id + " refuses " + attempt + " with 421");
			headers.put("X-Not-Executed", "1");
			headers.put("At-Server", this.id);
			return Http.message("HTTP/1.1 421 Misdirected Request", headers, new byte[0]);
		}
		if (this.running.incrementAndGet() > SLOTS + QUEUE) {
			this.running.decrementAndGet();
			headers.put("X-Not-Executed", "1");
			headers.put("At-Server", this.id);
			return Http.message("HTTP/1.1 503 Service Unavailable", headers, new byte[0]);
		}
		try {
			this.record.line("server " + this.id + " runs " + attempt + " " + request.word(0) + " " + request.word(1)
					+ " tenant " + request.header("X-Tenant"));
			this.whenRun.accept(attempt, request.header("X-Tenant"));
			if (request.word(1).startsWith(STREAMS)) {
				return stream(headers, attempt, out);
			}
			Thread.sleep(this.workMillis);
		}
		finally {
			this.running.decrementAndGet();
		}
		headers.put("X-Server-Load", this.running.get() + ",0," + SLOTS);
		headers.put("X-Weight-Versions", String.valueOf(this.weights));
		headers.put("X-Server-Seal", "seal." + this.id + "." + attempt);
		return Http.message("HTTP/1.1 200 OK", headers,
				("run " + attempt + " at " + this.id).getBytes(StandardCharsets.UTF_8));
	}

	private byte[] stream(Map<String, String> headers, String attempt, OutputStream out)
			throws IOException, InterruptedException {
		headers.put("X-Weight-Versions", String.valueOf(this.weights));
		headers.put("X-Server-Seal", "seal." + this.id + "." + attempt);
		headers.put("Content-Type", "text/event-stream");
		headers.put("Transfer-Encoding", "chunked");
		out.write(Http.message("HTTP/1.1 200 OK", headers, null));
		for (int event = 1; event <= EVENTS; event++) {
			Thread.sleep(this.workMillis);
			String text = "id: " + event + "\ndata: piece " + event + " of " + attempt + "\n\n";
			out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.UTF_8));
			out.flush();
		}
		return "0\r\n\r\n".getBytes(StandardCharsets.UTF_8);
	}

	/** Stops taking connections. Requests that it has are still answered. */
	void leave() throws IOException {
		this.listener.close();
	}

}
