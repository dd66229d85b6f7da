package org.snowwind.balance.handover;

/**
 * What an owner orders a rank to do. Every order carries the owner's ballot; a rank
 * refuses an order whose ballot is lower than the highest it has seen.
 */
public sealed interface RankOrder permits RankOrder.Ask, RankOrder.Bind, RankOrder.Confirm, RankOrder.Abort {

	/**
	 * Returns the ballot.
	 * @return the owner's term and attempt in one number
	 */
	long ballot();

	/**
	 * Asks for the rank's state and closes it to lower ballots.
	 *
	 * @param ballot the ballot
	 */
	record Ask(long ballot) implements RankOrder {

	}

	/**
	 * Binds the rank not to run a step before it is confirmed.
	 *
	 * @param ballot the ballot
	 * @param generation the map to run from that step on, which the rank has prepared
	 * @param step the step
	 */
	record Bind(long ballot, long generation, long step) implements RankOrder {

	}

	/**
	 * Confirms what was bound by a ballot.
	 *
	 * @param ballot the ballot of the order
	 * @param boundBallot the ballot by which the rank was bound
	 */
	record Confirm(long ballot, long boundBallot) implements RankOrder {

	}

	/**
	 * Frees the rank of what it was bound to and not confirmed.
	 *
	 * @param ballot the ballot
	 */
	record Abort(long ballot) implements RankOrder {

	}

}
