package org.snowwind.gateway.request;

import org.snowwind.gateway.table.Route;

/**
 * What a caller says of its request.
 *
 * @param requestId the caller's id of this attempt; {@code null} if it sent none
 * @param patienceMillis how long the caller will wait, in milliseconds; -1 if it does not
 * say
 * @param key its organisation's key; {@code null} if it sent none
 * @param lastEventId the last event of a stream that it has; {@code null} if it begins
 * @param promptTokens how many tokens its prompt has, 0 if it does not say
 * @param maxOutputTokens how many tokens it wants at most, 0 if it does not say
 */
public record CallerHead(String requestId, long patienceMillis, String key, String lastEventId, int promptTokens,
		int maxOutputTokens) {

	/**
	 * Returns how long a request may take.
	 * @param route its route
	 * @return the caller's patience or the route's timeout, whichever is shorter, in
	 * milliseconds
	 */
	long allowedMillis(Route route) {
		return (this.patienceMillis >= 0) ? Math.min(this.patienceMillis, route.timeoutMillis())
				: route.timeoutMillis();
	}

}
