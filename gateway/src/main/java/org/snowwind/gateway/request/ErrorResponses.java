package org.snowwind.gateway.request;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

import org.snowwind.http.server.HttpExchange;
import org.snowwind.model.outcome.Disclosure;
import org.snowwind.model.outcome.Problem;

/**
 * Sends error responses that the gateway itself generates.
 */
final class ErrorResponses {

	private static final double MILLIS_PER_SECOND = 1000;

	private ErrorResponses() {
	}

	/**
	 * Sends a problem as the response. The {@code Retry-After} header has a resolution of
	 * one millisecond, since a whole second is longer than callers can wait.
	 * @param exchange the exchange to respond to
	 * @param dialect provides the headers of responses that the gateway generates
	 * @param requestId the caller's id of its request, may be {@code null}
	 * @param problem the problem to report
	 */
	static void send(HttpExchange exchange, BackendDialect dialect, String requestId, Problem problem) {
		Map<String, String> headers = new LinkedHashMap<>(dialect.gatewayResponseHeaders(requestId));
		headers.put("Content-Type", "application/json");
		headers.put("Cache-Control", "no-store");
		headers.put(Disclosure.HEADER, problem.disclosure().headerValue());
		if (problem.retryAfterMillis() > 0) {
			headers.put("Retry-After",
					String.format(Locale.ROOT, "%.3f", problem.retryAfterMillis() / MILLIS_PER_SECOND));
		}
		exchange.respond(problem.kind().httpStatus(), headers, problem.toJson().getBytes(StandardCharsets.UTF_8));
	}

}
