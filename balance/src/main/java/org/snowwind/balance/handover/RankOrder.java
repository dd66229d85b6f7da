package org.snowwind.balance.handover;

/**
 * Order from an owner to a rank. Every order carries the ballot of the owner. A rank
 * rejects an order whose ballot is lower than the highest that it has seen.
 */
public sealed interface RankOrder permits RankOrder.Ask, RankOrder.Bind, RankOrder.Confirm, RankOrder.Abort {

	/**
	 * Returns the ballot.
	 * @return the term and the attempt of the owner, combined into one number
	 */
	long ballot();

	/**
	 * Asks for the state of the rank and makes it reject lower ballots from now on.
	 *
	 * @param ballot the ballot
	 */
	record Ask(long ballot) implements RankOrder {

	}

	/**
	 * Binds the rank to switch maps at a step, which it must not run before the bind is
	 * confirmed.
	 *
	 * @param ballot the ballot
	 * @param generation the generation of the map to run from that step on, which the
	 * rank has prepared
	 * @param step the step
	 */
	record Bind(long ballot, long generation, long step) implements RankOrder {

	}

	/**
	 * Confirms the bind of a ballot.
	 *
	 * @param ballot the ballot of the order
	 * @param boundBallot the ballot of the bind
	 */
	record Confirm(long ballot, long boundBallot) implements RankOrder {

	}

	/**
	 * Cancels an unconfirmed bind of the rank.
	 *
	 * @param ballot the ballot
	 */
	record Abort(long ballot) implements RankOrder {

	}

}
