package org.snowwind.gateway.expert;

import java.util.List;

/**
 * What a rank is ordered to do about its expert map.
 */
public sealed interface MapOrder
		permits MapOrder.Prepare, MapOrder.Arm, MapOrder.Disarm, MapOrder.Hold, MapOrder.Release {

	/**
	 * Tells whether a group may stand still until the order arrives.
	 * @return true for an order that follows a hold
	 */
	default boolean completesSwitch() {
		return this instanceof Arm || this instanceof Disarm || this instanceof Release;
	}

	/**
	 * Copies the experts that are new to the rank in a map.
	 *
	 * @param version the map's version
	 * @param expertsOfRank by set, by rank, the experts that the rank holds
	 */
	record Prepare(long version, List<List<List<Integer>>> expertsOfRank) implements MapOrder {

	}

	/**
	 * Switches to a prepared map as a pass begins.
	 *
	 * @param version the map's version
	 * @param step the pass
	 */
	record Arm(long version, long step) implements MapOrder {

	}

	/**
	 * Takes an {@link Arm} back.
	 *
	 * @param version the map's version
	 */
	record Disarm(long version) implements MapOrder {

	}

	/**
	 * Keeps the group from beginning a pass until the rank is told {@link Release}.
	 *
	 * @param step the pass
	 */
	record Hold(long step) implements MapOrder {

	}

	/**
	 * Lets the group begin a pass that a rank was told to hold.
	 *
	 * @param step the pass
	 */
	record Release(long step) implements MapOrder {

	}

}
