package org.snowwind.agent.backend;

import java.util.HashMap;
import java.util.Map;

import org.snowwind.http.client.UpstreamRequest;

/**
 * The protocol of model engines: JSON in, lines of tokens out.
 *
 * <p>
 * Callers' headers stay here. An engine honours priorities, and a caller that could set
 * one would pass before other organisations.
 */
public final class EngineProtocol implements BackendProtocol {

	private static final String RESUME_AT = "X-Resume-At";

	private final String baseUrl;

	/**
	 * Creates the protocol.
	 * @param baseUrl the engine's URL without a slash at its end
	 */
	public EngineProtocol(String baseUrl) {
		this.baseUrl = baseUrl;
	}

	@Override
	public UpstreamRequest requestFor(BackendCall call) {
		Map<String, String> headers = new HashMap<>();
		headers.put("Content-Type", "application/json");
		headers.put(RESUME_AT, Integer.toString(call.resumeAt()));
		return new UpstreamRequest("POST", this.baseUrl + "/v1/generate", headers, call.body());
	}

}
