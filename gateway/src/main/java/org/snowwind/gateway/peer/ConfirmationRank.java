package org.snowwind.gateway.peer;

import java.util.Set;
import java.util.function.Supplier;

import org.snowwind.decide.choice.Rendezvous;

/**
 * Ranks the live gateways for asking the store whether copies are still the newest, so
 * that all choose the same one without agreeing on it, and another one for each kind of
 * object.
 */
public final class ConfirmationRank {

	private final String name;

	private final Supplier<Set<String>> confirmingPeers;

	/**
	 * Creates the rank of a gateway.
	 * @param name its name
	 * @param confirmingPeers names the peers that answer, do not leave and reach the
	 * store
	 */
	public ConfirmationRank(String name, Supplier<Set<String>> confirmingPeers) {
		this.name = name;
		this.confirmingPeers = confirmingPeers;
	}

	/**
	 * Returns how many of these peers come before this gateway.
	 * @param prefix the start of the keys of the objects
	 * @return a number of gateways, 0 for the first in rank
	 */
	public int of(String prefix) {
		long seed = Rendezvous.hash(prefix);
		long own = Rendezvous.score(this.name, seed);
		return (int) this.confirmingPeers.get()
			.stream()
			.filter((peer) -> Long.compareUnsigned(Rendezvous.score(peer, seed), own) > 0)
			.count();
	}

}
