package org.snowwind.http.server;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import org.snowwind.model.Json;
import org.snowwind.model.outcome.Disclosure;
import org.snowwind.model.outcome.Problem;

/**
 * Whole answers of common kinds.
 */
public final class Responses {

	private static final String CONTENT_TYPE = "Content-Type";

	private static final String JSON = "application/json";

	private Responses() {
	}

	/**
	 * Answers with a problem.
	 * @param exchange the request
	 * @param problem what is wrong
	 */
	public static void problem(HttpExchange exchange, Problem problem) {
		Map<String, String> headers = new LinkedHashMap<>();
		headers.put(CONTENT_TYPE, JSON);
		headers.put("Cache-Control", "no-store");
		headers.put(Disclosure.HEADER, problem.disclosure().headerValue());
		if (problem.retryAfterMillis() > 0) {
			headers.put("Retry-After", Long.toString(problem.retryAfterSeconds()));
		}
		byte[] body = problem.toJson().getBytes(StandardCharsets.UTF_8);
		exchange.respond(problem.kind().httpStatus(), headers, body);
	}

	/**
	 * Answers with a value as JSON.
	 * @param exchange the request
	 * @param status the HTTP status
	 * @param value the value
	 */
	public static void json(HttpExchange exchange, int status, Object value) {
		try {
			exchange.respond(status, Map.of(CONTENT_TYPE, JSON), Json.MAPPER.writeValueAsBytes(value));
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("our own types always serialize", ex);
		}
	}

	/**
	 * Answers with plain text.
	 * @param exchange the request
	 * @param status the HTTP status
	 * @param text the text
	 */
	public static void text(HttpExchange exchange, int status, String text) {
		exchange.respond(status, Map.of(CONTENT_TYPE, "text/plain; charset=utf-8"),
				text.getBytes(StandardCharsets.UTF_8));
	}

}
