import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** One HTTP/1.1 message with its whole body. */
final class Message {

	final String firstLine;

	final Map<String, String> headers;

	final byte[] body;

	private Message(String firstLine, Map<String, String> headers, byte[] body) {
		this.firstLine = firstLine;
		this.headers = headers;
		this.body = body;
	}

	/** Reads a message; returns null if the connection ends before one begins. */
	static Message read(InputStream in) throws IOException {
		String first = line(in);
		if (first == null || first.isEmpty()) {
			return null;
		}
		Map<String, String> headers = new LinkedHashMap<>();
		String next = line(in);
		while (next != null && !next.isEmpty()) {
			int colon = next.indexOf(':');
			headers.put(next.substring(0, colon).toLowerCase(Locale.ROOT), next.substring(colon + 1).strip());
			next = line(in);
		}
		if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
			return new Message(first, headers, chunks(in));
		}
		int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
		byte[] body = in.readNBytes(length);
		if (body.length < length) {
			throw new IOException("the body is not whole");
		}
		return new Message(first, headers, body);
	}

	private static byte[] chunks(InputStream in) throws IOException {
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		int size = Integer.parseInt(line(in).split(";")[0].strip(), 16);
		while (size > 0) {
			body.write(in.readNBytes(size));
			line(in);
			size = Integer.parseInt(line(in).split(";")[0].strip(), 16);
		}
		line(in);
		return body.toByteArray();
	}

	private static String line(InputStream in) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		int next = in.read();
		if (next < 0) {
			return null;
		}
		while (next >= 0 && next != '\n') {
			if (next != '\r') {
				line.write(next);
			}
			next = in.read();
		}
		return line.toString(StandardCharsets.ISO_8859_1);
	}

}
