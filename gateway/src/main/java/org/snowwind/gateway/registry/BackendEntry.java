package org.snowwind.gateway.registry;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;

/**
 * A backend server as it has registered itself.
 *
 * @param id its id, which a restart may keep
 * @param bornMillis when it was started, in Unix milliseconds by its own clock;
 * {@link BackendRun#UNKNOWN} if it does not say
 * @param service the service that it serves
 * @param host its IP number
 * @param port its port
 * @param dataCentre where it stands
 * @param slots how many requests it runs at once
 * @param draining whether it takes no new work
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record BackendEntry(String id, long bornMillis, String service, String host, int port, String dataCentre,
		int slots, boolean draining) {

	/**
	 * Returns which life of the server has registered.
	 * @return the life
	 */
	public BackendRun run() {
		return new BackendRun(this.id, this.bornMillis);
	}

	/**
	 * Returns the address.
	 * @return {@code IP:PORT}
	 */
	public String address() {
		return this.host + ":" + this.port;
	}

}
