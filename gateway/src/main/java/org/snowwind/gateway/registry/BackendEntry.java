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
 * @param coldMillis for how long it stayed cold when it wrote the entry, in milliseconds;
 * 0 if it was not cold
 * @param coldSequence the sequence number of the entry if it names a cold time, so that a
 * server that turns cold again differs from one that was cold before; 0 otherwise
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record BackendEntry(String id, long bornMillis, String service, String host, int port, String dataCentre,
		int slots, boolean draining, long coldMillis, long coldSequence) {

	/**
	 * Creates the entry of a server that is not cold.
	 * @param id the id of the server
	 * @param bornMillis the start time of the server, in Unix milliseconds
	 * @param service the service that it serves
	 * @param host its IP address
	 * @param port its port
	 * @param dataCentre the data centre that it runs in
	 * @param slots the number of requests that it runs concurrently
	 * @param draining whether it accepts no new requests
	 */
	public BackendEntry(String id, long bornMillis, String service, String host, int port, String dataCentre, int slots,
			boolean draining) {
		this(id, bornMillis, service, host, port, dataCentre, slots, draining, 0, 0);
	}

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
				this.slots, true, this.coldMillis, this.coldSequence);
	}

	/**
	 * Returns the address.
	 * @return {@code IP:PORT}
	 */
	public String address() {
		return this.host + ":" + this.port;
	}

}
