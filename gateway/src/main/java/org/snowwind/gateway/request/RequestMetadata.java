package org.snowwind.gateway.request;

import java.util.List;

import org.snowwind.gateway.table.Route;

/**
 * Metadata that a caller sends in the headers of its request.
 *
 * @param requestId the caller's id of this attempt; {@code null} if it sent none
 * @param timeoutMillis how long the caller waits for the response, in milliseconds; -1 if
 * it sent no timeout
 * @param apiKey the API key of the caller's organisation; {@code null} if it sent none
 * @param lastEventId id of the last event of the stream that the caller has; {@code null}
 * to start at the beginning
 * @param promptTokens the number of tokens of the prompt; 0 if it is not known
 * @param maxOutputTokens the maximum number of tokens to generate; 0 if the caller sent
 * no maximum
 * @param sharedParts ids of the parts of the prompt that other requests may share, in the
 * order of the prompt; empty if the caller named none
 */
public record RequestMetadata(String requestId, long timeoutMillis, String apiKey, String lastEventId, int promptTokens,
		int maxOutputTokens, List<String> sharedParts) {

	/**
	 * Returns how long the request may take.
	 * @param route the route of the request
	 * @return the timeout of the caller or of the route, whichever is shorter, in
	 * milliseconds
	 */
	long allowedMillis(Route route) {
		return (this.timeoutMillis >= 0) ? Math.min(this.timeoutMillis, route.timeoutMillis()) : route.timeoutMillis();
	}

}
