package org.snowwind.gateway.expert;

import java.util.List;
import java.util.Optional;

/**
 * Reads the expert counts of ranks.
 */
interface CountsPort {

	/**
	 * Returns whether a rank may be sent a call now.
	 * @param rank the rank
	 * @return false if its limit or backoff forbids it
	 */
	boolean isCallAllowed(Rank rank);

	/**
	 * Chooses a rank that is sent more calls than the others.
	 * @param ranks ranks of a group, at least one
	 * @return the first that is not restricted, the first of all if all are
	 */
	Rank firstUnrestricted(List<Rank> ranks);

	/**
	 * Asks ranks which experts were chosen.
	 * @param ranks the ranks
	 * @return the counts in the same order, empty where no answer came
	 */
	List<Optional<RankCounts>> counts(List<Rank> ranks);

}
