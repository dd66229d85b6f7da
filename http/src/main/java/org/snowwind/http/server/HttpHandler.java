package org.snowwind.http.server;

import org.snowwind.model.outcome.Problem;

/**
 * Takes requests.
 */
@FunctionalInterface
public interface HttpHandler {

	/**
	 * Takes one request, whose head has arrived and whose body has not been read.
	 *
	 * <p>
	 * Called on the server's loop; must not block. A request must not take effect before
	 * its body is read: until then a fault of the server is answered as not run.
	 * @param exchange the request and the way to answer it
	 */
	void handle(HttpExchange exchange);

	/**
	 * Answers a request that the server itself ends.
	 * @param exchange the request
	 * @param problem the reason
	 */
	default void reject(HttpExchange exchange, Problem problem) {
		Responses.problem(exchange, problem);
	}

	/**
	 * Returns the id by which log lines name a request.
	 * @param exchange the request
	 * @return the id, {@code null} if it has none
	 */
	default String requestId(HttpExchange exchange) {
		return null;
	}

}
