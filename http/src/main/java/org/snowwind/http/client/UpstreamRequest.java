package org.snowwind.http.client;

import java.util.Map;

/**
 * A request that this process sends.
 *
 * @param method the HTTP method
 * @param url the absolute URL
 * @param headers its headers
 * @param body its body, empty for none
 */
public record UpstreamRequest(String method, String url, Map<String, String> headers, byte[] body) {

	/**
	 * Copies the headers.
	 */
	public UpstreamRequest {
		headers = Map.copyOf(headers);
	}

}
