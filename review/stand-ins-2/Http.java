import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** HTTP/1.1 over plain sockets. */
final class Http {

	private Http() {
	}

	/** A request or an answer. Names of headers are in lower case. */
	record Message(String first, Map<String, String> headers, byte[] body) {

		String word(int index) {
			return this.first.split(" ", 3)[index];
		}

		int status() {
			return Integer.parseInt(word(1));
		}

		String header(String name) {
			return this.headers.get(name.toLowerCase(Locale.ROOT));
		}

		String text() {
			return new String(this.body, StandardCharsets.UTF_8);
		}

	}

	private static String line(InputStream in) throws IOException {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		int next = in.read();
		while (next != '\n') {
			if (next < 0) {
				throw new EOFException("closed after " + out.size() + " bytes of a line");
			}
			out.write(next);
			next = in.read();
		}
		return out.toString(StandardCharsets.ISO_8859_1).stripTrailing();
	}

	/** Reads one message whole; an answer without a length ends with its connection. */
	static Message read(InputStream in, boolean answer) throws IOException {
		String first = line(in);
		while (first.isEmpty()) {
			first = line(in);
		}
		Map<String, String> headers = new LinkedHashMap<>();
		String line = line(in);
		while (!line.isEmpty()) {
			int colon = line.indexOf(':');
			headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
			line = line(in);
		}
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
			int size = Integer.parseInt(line(in).split(";")[0].strip(), 16);
			while (size > 0) {
				body.writeBytes(exactly(in, size));
				line(in);
				size = Integer.parseInt(line(in).split(";")[0].strip(), 16);
			}
			line(in);
		}
		else if (headers.containsKey("content-length")) {
			body.writeBytes(exactly(in, Integer.parseInt(headers.get("content-length"))));
		}
		else if (answer) {
			body.writeBytes(in.readAllBytes());
		}
		return new Message(first, headers, body.toByteArray());
	}

	private static byte[] exactly(InputStream in, int size) throws IOException {
		byte[] bytes = in.readNBytes(size);
		if (bytes.length < size) {
			throw new EOFException("closed after " + bytes.length + " of " + size + " bytes of a body");
		}
		return bytes;
	}

	static byte[] message(String first, Map<String, String> headers, byte[] body) {
		StringBuilder head = new StringBuilder(first).append("\r\n");
		headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
		if (body != null) {
			head.append("Content-Length: ").append(body.length).append("\r\n");
		}
		head.append("\r\n");
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		out.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
		if (body != null) {
			out.writeBytes(body);
		}
		return out.toByteArray();
	}

	/** Sends one request on a connection of its own and reads the answer whole. */
	static Message call(int port, String method, String target, Map<String, String> headers, byte[] body,
			int timeoutMillis) throws IOException {
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
			socket.setSoTimeout(timeoutMillis);
			socket.setTcpNoDelay(true);
			OutputStream out = socket.getOutputStream();
			out.write(message(method + " " + target + " HTTP/1.1", headers, body));
			out.flush();
			return read(new BufferedInputStream(socket.getInputStream()), true);
		}
	}

}
