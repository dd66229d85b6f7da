package org.snowwind.balance.handover;

import java.util.function.Consumer;

/**
 * The ranks of a group, as far as a switch needs them. Orders and answers may be lost,
 * doubled or late.
 */
@FunctionalInterface
public interface RankGroup {

	/**
	 * Sends an order to a rank.
	 * @param rank the rank's place in the group
	 * @param order the order
	 * @param whenAnswered gets the rank's state, if an answer comes
	 */
	void order(int rank, RankOrder order, Consumer<RankState> whenAnswered);

}
