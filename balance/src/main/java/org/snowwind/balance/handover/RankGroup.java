package org.snowwind.balance.handover;

import java.util.function.Consumer;

/**
 * Sends orders to the ranks of a group. Orders and answers may be lost, duplicated,
 * delayed or reordered.
 */
@FunctionalInterface
public interface RankGroup {

	/**
	 * Sends an order to a rank.
	 * @param rank the index of the rank in the group
	 * @param order the order
	 * @param whenAnswered receives the state of the rank if an answer arrives
	 */
	void sendOrder(int rank, RankOrder order, Consumer<RankState> whenAnswered);

}
