package org.snowwind.http.server;

/**
 * Takes requests.
 */
@FunctionalInterface
public interface HttpHandler {

	/**
	 * Takes one request, whose head has arrived and whose body has not been read.
	 *
	 * <p>
	 * Called on the server's loop; must not block.
	 * @param exchange the request and the way to answer it
	 */
	void handle(HttpExchange exchange);

}
