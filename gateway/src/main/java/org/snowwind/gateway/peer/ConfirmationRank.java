package org.snowwind.gateway.peer;

import java.util.Set;
import java.util.function.Supplier;

import org.snowwind.decide.choice.RendezvousHashing;

/**
 * Ranks the live gateways for asking the store whether copies are still the newest. All
 * gateways compute the same ranking, so that they choose the same gateway without
 * coordination, and another one for each kind of object.
 */
public final class ConfirmationRank {

	private final String name;

	private final Supplier<Set<String>> confirmingPeers;

	/**
	 * Creates the rank of a gateway.
	 * @param name the name of the gateway
	 * @param confirmingPeers provides the names of the peers that are live, not leaving
	 * and able to reach the store
	 */
	public ConfirmationRank(String name, Supplier<Set<String>> confirmingPeers) {
		this.name = name;
		this.confirmingPeers = confirmingPeers;
	}

	/**
	 * Returns the number of these peers that rank before this gateway.
	 * @param prefix the prefix of the keys of the objects
	 * @return the number of gateways, 0 for the first in rank
	 */
	public int of(String prefix) {
		long seed = RendezvousHashing.hash(prefix);
		long own = RendezvousHashing.score(this.name, seed);
		return (int) this.confirmingPeers.get()
			.stream()
			.filter((peer) -> Long.compareUnsigned(RendezvousHashing.score(peer, seed), own) > 0)
			.count();
	}

}
