package org.snowwind.standin;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * An answer as a caller reads it: strictly by its length or chunks, so that its body is
 * what the head says and the next answer begins where this one ends.
 *
 * @param status the HTTP status; 0 if the connection broke before one
 * @param headers the headers by lower-case name
 * @param body the body, as far as it came
 * @param whole whether the answer ended as its head says
 */
public record CallerAnswer(int status, Map<String, String> headers, String body, boolean whole) {

	private static final int HEX = 16;

	/**
	 * Copies the headers.
	 */
	public CallerAnswer {
		headers = Map.copyOf(headers);
	}

	/**
	 * Reads one answer.
	 * @param in the bytes from the server
	 * @return the answer
	 * @throws IOException if nothing comes in time
	 */
	public static CallerAnswer read(InputStream in) throws IOException {
		String line = readLine(in);
		if (line.isEmpty()) {
			return new CallerAnswer(0, Map.of(), "", false);
		}
		Map<String, String> headers = new TreeMap<>();
		for (String header = readLine(in); !header.isEmpty(); header = readLine(in)) {
			int colon = header.indexOf(':');
			headers.put(header.substring(0, colon).toLowerCase(Locale.ROOT), header.substring(colon + 1).strip());
		}
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		boolean whole = headers.containsKey("content-length")
				? take(in, Integer.parseInt(headers.get("content-length")), body) : takeChunks(in, body);
		return new CallerAnswer(Integer.parseInt(line.split(" ")[1]), headers, body.toString(StandardCharsets.UTF_8),
				whole);
	}

	private static boolean takeChunks(InputStream in, ByteArrayOutputStream body) throws IOException {
		while (true) {
			String size = readLine(in);
			if (size.isEmpty()) {
				return false;
			}
			int length = Integer.parseInt(size, HEX);
			boolean came = take(in, length, body);
			readLine(in);
			if (!came || length == 0) {
				return came;
			}
		}
	}

	private static boolean take(InputStream in, int length, ByteArrayOutputStream body) throws IOException {
		byte[] bytes = in.readNBytes(length);
		body.writeBytes(bytes);
		return bytes.length == length;
	}

	private static String readLine(InputStream in) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		try {
			for (int next = in.read(); next >= 0 && next != '\n'; next = in.read()) {
				line.write(next);
			}
		}
		catch (SocketException ex) {
			// A reset connection ends like a closed one: without the rest.
			return "";
		}
		return line.toString(StandardCharsets.UTF_8).strip();
	}

}
