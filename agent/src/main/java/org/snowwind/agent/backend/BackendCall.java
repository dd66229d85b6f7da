package org.snowwind.agent.backend;

import java.util.Map;

/**
 * A piece of work as a back end sees it.
 *
 * @param method the HTTP method
 * @param pathAndQuery what stands behind the target's name
 * @param headers the caller's headers
 * @param body the body
 * @param resumeAt from which token on the answer is wanted
 */
public record BackendCall(String method, String pathAndQuery, Map<String, String> headers, byte[] body, int resumeAt) {

	/**
	 * Copies the headers.
	 */
	public BackendCall {
		headers = Map.copyOf(headers);
	}

}
