package org.snowwind.http;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * Tells headers of a message from headers of a connection.
 */
public final class EndToEndHeaders {

	private static final Set<String> HOP_BY_HOP = Set.of("connection", "keep-alive", "proxy-connection",
			"proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade", "host",
			"expect");

	private EndToEndHeaders() {
	}

	/**
	 * Copies the headers that belong to the message itself.
	 * @param headers all headers
	 * @return values by lower-case name; several values of one name are joined by commas
	 */
	public static Map<String, String> of(HttpHeaders headers) {
		Map<String, String> kept = new LinkedHashMap<>();
		headers.forEach((header) -> {
			String name = header.getKey().toLowerCase(Locale.ROOT);
			if (!HOP_BY_HOP.contains(name)) {
				kept.merge(name, header.getValue(), (first, second) -> first + ", " + second);
			}
		});
		return kept;
	}

}
