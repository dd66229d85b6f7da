package org.snowwind.gateway.request;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

import org.snowwind.http.server.HttpExchange;
import org.snowwind.model.outcome.Disclosure;
import org.snowwind.model.outcome.Problem;

/**
 * Answers that this process gives by itself.
 */
final class OwnAnswers {

	private static final double MILLIS_PER_SECOND = 1000;

	private OwnAnswers() {
	}

	/**
	 * Answers with a problem. A time to come back is told to the millisecond, since whole
	 * seconds are longer than callers here can wait.
	 * @param exchange the request
	 * @param dialect names headers
	 * @param requestId the caller's id of its request, may be {@code null}
	 * @param problem what is wrong
	 */
	static void problem(HttpExchange exchange, BackendDialect dialect, String requestId, Problem problem) {
		Map<String, String> headers = new LinkedHashMap<>(dialect.ownAnswer(requestId));
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
