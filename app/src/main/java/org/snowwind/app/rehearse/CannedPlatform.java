package org.snowwind.app.rehearse;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Properties;

import org.snowwind.config.settings.Addresses;
import org.snowwind.http.DataLoop;
import org.snowwind.http.server.HttpExchange;
import org.snowwind.http.server.HttpLimits;
import org.snowwind.http.server.HttpServer;

/**
 * Gives canned answers in place of the platform and of backend servers.
 */
final class CannedPlatform implements AutoCloseable {

	private static final int OK = 200;

	private static final int NOT_FOUND = 404;

	private static final byte[] EVENTS = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n".getBytes(StandardCharsets.UTF_8);

	private final HttpServer server;

	private InetSocketAddress address;

	/**
	 * Creates a server that does not listen yet.
	 * @param loop the thread that carries it
	 */
	CannedPlatform(DataLoop loop) {
		this.server = new HttpServer(loop, HttpLimits.DEFAULT, this::handle);
	}

	InetSocketAddress start() {
		this.address = this.server.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
		return this.address;
	}

	private void handle(HttpExchange exchange) {
		exchange.readBody(1 << 20, (body) -> answer(exchange));
	}

	private void answer(HttpExchange exchange) {
		String path = exchange.path();
		String last = path.substring(path.lastIndexOf('/') + 1);
		if (exchange.target().contains("watch=")) {
			json(exchange, "watch");
		}
		else if ("config".equals(last) || "servers".equals(last)) {
			json(exchange, last);
		}
		else if (path.startsWith("/stream/") || path.startsWith("/plain/")) {
			stream(exchange);
		}
		else {
			exchange.respond(NOT_FOUND, Map.of("Content-Type", "application/json"),
					"{}".getBytes(StandardCharsets.UTF_8));
		}
	}

	private void json(HttpExchange exchange, String name) {
		String text = new String(resource(name + ".json"), StandardCharsets.UTF_8).replace("ADDRESS",
				Addresses.render(this.address));
		exchange.respond(OK, Map.of("Content-Type", "application/json"), text.getBytes(StandardCharsets.UTF_8));
	}

	private void stream(HttpExchange exchange) {
		Properties signed = new Properties();
		try (InputStream stream = open("answer.properties")) {
			signed.load(stream);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		Map<String, String> headers = new HashMap<>();
		signed.forEach((name, value) -> headers.put(name.toString(), value.toString()));
		headers.put("Content-Type", "text/event-stream");
		exchange.begin(OK, headers);
		exchange.write(EVENTS);
		exchange.end();
	}

	private static byte[] resource(String name) {
		try (InputStream stream = open(name)) {
			return stream.readAllBytes();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static InputStream open(String name) {
		return CannedPlatform.class.getResourceAsStream("/rehearsal/" + name);
	}

	@Override
	public void close() {
		this.server.close();
	}

}
