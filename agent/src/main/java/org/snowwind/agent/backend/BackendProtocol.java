package org.snowwind.agent.backend;

import org.snowwind.http.client.UpstreamRequest;

/**
 * How work is put to a back end.
 */
@FunctionalInterface
public interface BackendProtocol {

	/**
	 * Makes the request for a piece of work.
	 * @param call the work
	 * @return the request
	 */
	UpstreamRequest requestFor(BackendCall call);

}
