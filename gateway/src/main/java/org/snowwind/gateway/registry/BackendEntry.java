package org.snowwind.gateway.registry;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;

/**
 * A backend server as it has registered itself.
 *
 * @param id names one run of the server; a restart has a new id
 * @param service the service that it serves
 * @param host its IP number
 * @param port its port
 * @param dataCentre where it stands
 * @param slots how many requests it runs at once
 * @param draining whether it takes no new work
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record BackendEntry(String id, String service, String host, int port, String dataCentre, int slots,
		boolean draining) {

	/**
	 * Returns the address.
	 * @return {@code IP:PORT}
	 */
	public String address() {
		return this.host + ":" + this.port;
	}

}
