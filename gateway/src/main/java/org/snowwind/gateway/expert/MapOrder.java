package org.snowwind.gateway.expert;

import java.util.List;

/**
 * An order to a rank about its expert map.
 */
public sealed interface MapOrder
		permits MapOrder.Prepare, MapOrder.Arm, MapOrder.Disarm, MapOrder.Hold, MapOrder.Release {

	/**
	 * Returns whether the group may be stalled until the order arrives.
	 * @return true for an order that follows a hold
	 */
	default boolean completesSwitch() {
		return this instanceof Arm || this instanceof Disarm || this instanceof Release;
	}

	/**
	 * Copies the experts of a map that are new to the rank.
	 *
	 * @param version the map's version
	 * @param expertsOfRank the experts of each rank, by set and rank
	 */
	record Prepare(long version, List<List<List<Integer>>> expertsOfRank) implements MapOrder {

	}

	/**
	 * Switches to a prepared map when a pass begins.
	 *
	 * @param version the map's version
	 * @param step the pass
	 */
	record Arm(long version, long step) implements MapOrder {

	}

	/**
	 * Reverts an {@link Arm}.
	 *
	 * @param version the map's version
	 */
	record Disarm(long version) implements MapOrder {

	}

	/**
	 * Prevents the group from beginning a pass until {@link Release}.
	 *
	 * @param step the pass
	 */
	record Hold(long step) implements MapOrder {

	}

	/**
	 * Lets the group begin a held pass.
	 *
	 * @param step the pass
	 */
	record Release(long step) implements MapOrder {

	}

}
