package org.snowwind.gateway.expert;

import java.util.List;
import java.util.Optional;

/**
 * The ranks of a group, as seen by a switch. Orders and responses may be lost, duplicated
 * or delayed.
 */
interface RankGroupPort {

	/**
	 * Asks all ranks for their state.
	 * @return the ranks that answered, by place
	 */
	List<Rank> reports();

	/**
	 * Asks a few ranks for their state, which shows the current pass and whether the
	 * group still exists.
	 * @return the ranks that answered, by place
	 */
	List<Rank> sample();

	/**
	 * Chooses the rank that holds a pass, which is sent more calls than the others.
	 * @param ranks all ranks of the group
	 * @return one of them
	 */
	default Rank holderOf(List<Rank> ranks) {
		return ranks.get(0);
	}

	/**
	 * Creates an order for a common map of the experts that ranks hold now, under a new
	 * version.
	 * @param ranks all ranks of the group
	 * @return the order, empty if a rank does not report its experts
	 */
	Optional<MapOrder.Prepare> currentMap(List<Rank> ranks);

	/**
	 * Gives one order to each of several ranks.
	 * @param ranks the ranks
	 * @param order the order
	 * @return the results in the same order
	 */
	List<OrderResult> order(List<Rank> ranks, MapOrder order);

	/**
	 * Waits.
	 * @param millis how long, in milliseconds
	 */
	void pause(long millis);

	/**
	 * Returns whether this process may still give orders.
	 * @return false once another process has the duty
	 */
	boolean onDuty();

	/**
	 * Returns whether this process leaves the duty. It releases the pass that it holds
	 * and holds no other.
	 * @return true once it leaves
	 */
	boolean leaving();

}
