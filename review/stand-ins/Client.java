import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** Sends one request on a connection of its own and waits for the answer. */
final class Client {

	private Client() {
	}

	/** Returns the answer, or null if the connection ends or the deadline passes without a whole one. */
	static Message send(int port, String method, String target, Map<String, String> headers, byte[] body,
			int deadlineMillis) {
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
			socket.setSoTimeout(deadlineMillis);
			StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\n");
			headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
			head.append("X-Deadline-Ms: ").append(deadlineMillis).append("\r\n");
			head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
			OutputStream out = socket.getOutputStream();
			out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
			out.write(body);
			out.flush();
			return Message.read(new BufferedInputStream(socket.getInputStream()));
		}
		catch (IOException ex) {
			return null;
		}
	}

	static int status(Message answer) {
		return (answer != null) ? Integer.parseInt(answer.firstLine.split(" ")[1]) : 0;
	}

}
