package org.snowwind.agent.backend;

import java.util.HashMap;
import java.util.Map;

import org.snowwind.http.client.UpstreamRequest;

/**
 * The protocol of plain services: the caller's request as it came.
 */
public final class PlainProtocol implements BackendProtocol {

	private final String baseUrl;

	/**
	 * Creates the protocol.
	 * @param baseUrl the service's URL without a slash at its end
	 */
	public PlainProtocol(String baseUrl) {
		this.baseUrl = baseUrl;
	}

	@Override
	public UpstreamRequest requestFor(BackendCall call) {
		Map<String, String> headers = new HashMap<>(call.headers());
		headers.remove("content-length");
		return new UpstreamRequest(call.method(), this.baseUrl + call.pathAndQuery(), headers, call.body());
	}

}
