package org.snowwind.http.client;

import java.util.Map;

/**
 * A request that this process sends.
 *
 * @param method the HTTP method
 * @param origin scheme, host and port of the server
 * @param target the request target, sent byte for byte
 * @param headers its headers
 * @param body its body, empty for none
 */
public record UpstreamRequest(String method, String origin, String target, Map<String, String> headers, byte[] body) {

	/**
	 * Copies the headers.
	 */
	public UpstreamRequest {
		headers = Map.copyOf(headers);
	}

	/**
	 * Creates a request to a URL. What follows the authority is the target.
	 * @param method the HTTP method
	 * @param url the absolute URL
	 * @param headers its headers
	 * @param body its body, empty for none
	 */
	public UpstreamRequest(String method, String url, Map<String, String> headers, byte[] body) {
		this(method, url.substring(0, UnparsedUri.endOfOrigin(url)), url.substring(UnparsedUri.endOfOrigin(url)),
				headers, body);
	}

	/**
	 * Returns the URL that the request is sent to.
	 * @return the origin and the target
	 */
	public String url() {
		return this.origin + this.target;
	}

}
