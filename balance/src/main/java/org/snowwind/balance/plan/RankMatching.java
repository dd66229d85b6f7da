package org.snowwind.balance.plan;

import java.util.ArrayList;
import java.util.List;

/**
 * Renumbers the ranks of a new placement so that few experts must be moved from an old
 * one.
 */
final class RankMatching {

	private RankMatching() {
	}

	/**
	 * Matches new ranks to old ranks greedily, pairs with the most common experts first,
	 * and gives each new rank the number of its old rank.
	 * @param before the old ranks of each expert
	 * @param after the new ranks of each expert
	 * @param ranks the number of ranks
	 * @return the new placement, renumbered
	 */
	static List<List<Integer>> closest(List<List<Integer>> before, List<List<Integer>> after, int ranks) {
		int[][] commonExperts = commonExperts(before, after, ranks);
		int[] numberOf = new int[ranks];
		boolean[] matchedNew = new boolean[ranks];
		boolean[] matchedOld = new boolean[ranks];
		for (int round = 0; round < ranks; round++) {
			int bestNew = -1;
			int bestOld = -1;
			for (int newRank = 0; newRank < ranks; newRank++) {
				for (int oldRank = 0; oldRank < ranks && !matchedNew[newRank]; oldRank++) {
					boolean better = bestNew < 0 || commonExperts[newRank][oldRank] > commonExperts[bestNew][bestOld];
					if (!matchedOld[oldRank] && better) {
						bestNew = newRank;
						bestOld = oldRank;
					}
				}
			}
			numberOf[bestNew] = bestOld;
			matchedNew[bestNew] = true;
			matchedOld[bestOld] = true;
		}
		return renumber(after, numberOf);
	}

	private static int[][] commonExperts(List<List<Integer>> before, List<List<Integer>> after, int ranks) {
		int[][] commonExperts = new int[ranks][ranks];
		for (int expert = 0; expert < after.size(); expert++) {
			for (int newRank : after.get(expert)) {
				for (int oldRank : before.get(expert)) {
					commonExperts[newRank][oldRank]++;
				}
			}
		}
		return commonExperts;
	}

	private static List<List<Integer>> renumber(List<List<Integer>> after, int[] numberOf) {
		List<List<Integer>> renumbered = new ArrayList<>();
		for (List<Integer> ranks : after) {
			renumbered.add(ranks.stream().map((rank) -> numberOf[rank]).sorted().toList());
		}
		return renumbered;
	}

	/**
	 * Returns the number of replicas that must be loaded.
	 * @param before the old ranks of each expert
	 * @param after the new ranks of each expert
	 * @return the number of experts that are moved
	 */
	static int moves(List<List<Integer>> before, List<List<Integer>> after) {
		int moves = 0;
		for (int expert = 0; expert < after.size(); expert++) {
			for (int rank : after.get(expert)) {
				moves += before.get(expert).contains(rank) ? 0 : 1;
			}
		}
		return moves;
	}

}
