import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** A server of a service without an engine. It runs what is sent to it and keeps a list of that. */
final class Server implements AutoCloseable {

	final String id;

	final String service;

	final List<Run> runs = new CopyOnWriteArrayList<>();

	private final ServerSocket socket;

	private final long workMillis;

	private final boolean chunked;

	private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

	Server(String id, String service, long workMillis) throws IOException {
		this(id, service, workMillis, false);
	}

	/** Creates a server that marks the end of its answers by a length or by chunks. */
	Server(String id, String service, long workMillis, boolean chunked) throws IOException {
		this.chunked = chunked;
		this.id = id;
		this.service = service;
		this.workMillis = workMillis;
		this.socket = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
		daemon(this::accept);
	}

	private static void daemon(Runnable task) {
		Thread thread = new Thread(task, "server");
		thread.setDaemon(true);
		thread.start();
	}

	String address() {
		return "127.0.0.1:" + this.socket.getLocalPort();
	}

	void register(Store store, String zone) {
		ObjectNode entry = Store.JSON.createObjectNode()
			.put("service", this.service)
			.put("address", address())
			.put("zone", zone)
			.put("version", "1")
			.put("slots", 8)
			.put("state", "ready")
			.put("warmupRemainingMs", 0)
			.put("seq", 1);
		store.put("servers", this.id, entry);
	}

	private void accept() {
		while (!this.socket.isClosed()) {
			try {
				Socket connection = this.socket.accept();
				daemon(() -> serve(connection));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void serve(Socket connection) {
		this.connections.add(connection);
		try (connection) {
			InputStream in = new BufferedInputStream(connection.getInputStream());
			OutputStream out = connection.getOutputStream();
			Message request = Message.read(in);
			while (request != null) {
				handle(request, out);
				request = Message.read(in);
			}
		}
		catch (IOException | InterruptedException ex) {
			// The caller has closed the connection.
		}
		finally {
			this.connections.remove(connection);
		}
	}

	/** Ends the server at once: its port has no listener any more, and its connections are reset. */
	void crash() throws IOException {
		this.socket.close();
		for (Socket connection : this.connections) {
			connection.setSoLinger(true, 0);
			connection.close();
		}
	}

	private void handle(Message request, OutputStream out) throws IOException, InterruptedException {
		String attempt = request.headers.getOrDefault("x-attempt-id", "");
		if (!this.id.equals(request.headers.get("x-expect-instance"))) {
			respond(out, "421 Misdirected Request", "X-Not-Executed: 1\r\nX-Instance-Id: " + this.id + "\r\n", "");
			return;
		}
		String[] line = request.firstLine.split(" ");
		this.runs.add(new Run(attempt, line[0], line[1], request.body.length, request.headers.get("x-tenant"),
				System.nanoTime()));
		Thread.sleep(this.workMillis);
		respond(out, "200 OK", "X-Attempt-Id: " + attempt + "\r\nX-Server-Seal: " + this.id + "." + attempt + "\r\n",
				"done " + attempt);
	}

	private void respond(OutputStream out, String status, String headers, String body) throws IOException {
		byte[] bytes = body.getBytes(StandardCharsets.ISO_8859_1);
		String head = "HTTP/1.1 " + status + "\r\n" + headers;
		String text = this.chunked
				? head + "Transfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(bytes.length) + "\r\n" + body + "\r\n0\r\n\r\n"
				: head + "Content-Length: " + bytes.length + "\r\n\r\n" + body;
		out.write(text.getBytes(StandardCharsets.ISO_8859_1));
		out.flush();
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
	}

	/** A request that has run. */
	record Run(String attempt, String method, String target, int bodyBytes, String tenant, long atNanos) {
	}

}
