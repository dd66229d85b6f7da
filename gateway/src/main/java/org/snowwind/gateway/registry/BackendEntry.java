package org.snowwind.gateway.registry;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;

/**
 * The registration of a backend server in the platform.
 *
 * @param id the id of the server, which may stay the same after a restart
 * @param bornMillis the start time of the server, in Unix milliseconds by its own clock;
 * {@link BackendIncarnation#UNKNOWN} if it does not report one
 * @param service the service that it serves
 * @param host its IP address
 * @param port its port
 * @param dataCentre the data centre that it runs in
 * @param slots the number of requests that it runs concurrently
 * @param draining whether it accepts no new requests
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record BackendEntry(String id, long bornMillis, String service, String host, int port, String dataCentre,
		int slots, boolean draining) {

	/**
	 * Returns the incarnation of the server that has registered.
	 * @return the incarnation
	 */
	public BackendIncarnation incarnation() {
		return new BackendIncarnation(this.id, this.bornMillis);
	}

	/**
	 * Returns the entry of a server that accepts no new requests.
	 * @return this entry, draining
	 */
	BackendEntry asDraining() {
		return new BackendEntry(this.id, this.bornMillis, this.service, this.host, this.port, this.dataCentre,
				this.slots, true);
	}

	/**
	 * Returns the address.
	 * @return {@code IP:PORT}
	 */
	public String address() {
		return this.host + ":" + this.port;
	}

}
