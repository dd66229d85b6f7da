package org.snowwind.gateway.request;

import java.util.Map;

import org.snowwind.gateway.suspect.RequestDigest;
import org.snowwind.gateway.table.RequestPriorities;
import org.snowwind.gateway.table.Route;
import org.snowwind.gateway.table.ServiceEntry;

/**
 * A caller's request after its body was read and its route was found.
 *
 * @param metadata the metadata that the caller sent
 * @param method the HTTP method
 * @param target the path and query as sent
 * @param host the host header as sent
 * @param headers the request headers by lower-case name
 * @param body the request body
 * @param route the route of the request
 * @param destination the service that was drawn at random, by weight, from those of the
 * route
 * @param organisation the organisation that sent the request; {@code null} if it is not
 * known
 * @param priority the priority, 0 is the most urgent; {@link RequestPriorities#NONE} if
 * all requests have the same
 * @param tableVersion the version of the route table that was used
 * @param arrivedMillis when the request head arrived, in milliseconds
 */
record CallerRequest(RequestMetadata metadata, String method, String target, String host, Map<String, String> headers,
		byte[] body, Route route, ServiceEntry destination, String organisation, int priority, long tableVersion,
		long arrivedMillis) {

	String service() {
		return this.destination.name();
	}

	String id() {
		return this.metadata.requestId();
	}

	/**
	 * Computes the digest that identical requests share. This reads the whole body, so it
	 * is only called when the request may be a suspect or an attempt broke.
	 * @return the digest
	 */
	String digest() {
		return RequestDigest.of(this.organisation, this.method, this.host, this.target, this.body);
	}

}
