package org.snowwind.model.resource;

import java.util.List;

/**
 * A backend server and the agent in front of it.
 *
 * @param dataCentre where it stands
 * @param address the agent's address for requests, {@code IP:PORT}
 * @param controlAddress the agent's address for control, {@code IP:PORT}
 * @param targets the names of the services and model groups it serves
 * @param fencing whether its engines refuse orders with an old fencing number
 */
public record BackendServerSpec(String dataCentre, String address, String controlAddress, List<String> targets,
		Fencing fencing) implements ResourceSpec {

	/**
	 * Fills absent fields with their defaults.
	 */
	public BackendServerSpec {
		targets = (targets != null) ? List.copyOf(targets) : List.of();
		fencing = (fencing != null) ? fencing : Fencing.IGNORED;
	}

	/**
	 * Whether engines check the fencing number of an order.
	 */
	public enum Fencing {

		/** Engines refuse an order with an old number. */
		HONOURED,

		/** Engines obey whoever orders. */
		IGNORED

	}

}
