package org.snowwind.decide.blame;

import java.util.Set;

/**
 * A part of prompts that ends the servers that answer requests with it.
 *
 * @param part the service and the id of the part
 * @param organisations the organisations whose requests had it when servers ended
 * @param servers the incarnations of these servers
 * @param allowsTrial whether its last round of ends alone decided, so that one more
 * request may find out whether it is harmless; if not, that request adds a round
 */
public record BlamedPart(String part, Set<String> organisations, Set<String> servers, boolean allowsTrial) {

	/**
	 * Returns whether the requests of an organisation with the part must not be sent.
	 * What a single organisation sends does not count against others.
	 * @param organisation the organisation; empty if it is not known
	 * @return true if its requests with the part must not reach a server
	 */
	public boolean appliesTo(String organisation) {
		return this.organisations.size() > 1 || this.organisations.contains(organisation);
	}

}
