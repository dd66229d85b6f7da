package org.snowwind.agent.admission;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

import org.snowwind.http.server.HttpExchange;
import org.snowwind.model.AttemptHeaders;
import org.snowwind.model.outcome.Disclosure;
import org.snowwind.model.outcome.Problem;
import org.snowwind.model.outcome.ProblemKind;

/**
 * Tells an entry that an attempt was refused or failed.
 */
public final class Refusals {

	private Refusals() {
	}

	/**
	 * Answers an attempt with a problem. One that takes nothing more closes the
	 * connection, so that the entry does not keep it.
	 * @param exchange the way to answer
	 * @param problem what is wrong
	 */
	public static void tell(HttpExchange exchange, Problem problem) {
		Map<String, String> headers = new LinkedHashMap<>();
		headers.put("Content-Type", "application/json");
		headers.put(Disclosure.HEADER, problem.disclosure().headerValue());
		headers.put(AttemptHeaders.REFUSAL, problem.kind().code());
		String attempt = exchange.header(AttemptHeaders.ATTEMPT);
		if (attempt != null) {
			headers.put(AttemptHeaders.ATTEMPT, attempt);
		}
		if (problem.retryAfterMillis() > 0) {
			headers.put("Retry-After", Long.toString(problem.retryAfterSeconds()));
		}
		if (problem.kind() == ProblemKind.NOT_READY) {
			exchange.closeAfterAnswer();
		}
		exchange.respond(problem.kind().httpStatus(), headers, problem.toJson().getBytes(StandardCharsets.UTF_8));
	}

}
