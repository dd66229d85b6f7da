package org.snowwind.balance.plan;

import java.util.ArrayList;
import java.util.List;

/**
 * Renumbers the ranks of a new placement so that little has to be moved from an old one.
 */
final class RankMatching {

	private RankMatching() {
	}

	/**
	 * Gives each new rank the number of the old rank that holds most of its experts.
	 * @param before for each expert its old ranks
	 * @param after for each expert its new ranks
	 * @param ranks how many ranks there are
	 * @return the new placement, renumbered
	 */
	static List<List<Integer>> closest(List<List<Integer>> before, List<List<Integer>> after, int ranks) {
		int[][] common = common(before, after, ranks);
		int[] numberOf = new int[ranks];
		boolean[] named = new boolean[ranks];
		boolean[] taken = new boolean[ranks];
		for (int round = 0; round < ranks; round++) {
			int bestNew = -1;
			int bestOld = -1;
			for (int newRank = 0; newRank < ranks; newRank++) {
				for (int oldRank = 0; oldRank < ranks && !named[newRank]; oldRank++) {
					boolean better = bestNew < 0 || common[newRank][oldRank] > common[bestNew][bestOld];
					if (!taken[oldRank] && better) {
						bestNew = newRank;
						bestOld = oldRank;
					}
				}
			}
			numberOf[bestNew] = bestOld;
			named[bestNew] = true;
			taken[bestOld] = true;
		}
		return renumber(after, numberOf);
	}

	private static int[][] common(List<List<Integer>> before, List<List<Integer>> after, int ranks) {
		int[][] common = new int[ranks][ranks];
		for (int expert = 0; expert < after.size(); expert++) {
			for (int newRank : after.get(expert)) {
				for (int oldRank : before.get(expert)) {
					common[newRank][oldRank]++;
				}
			}
		}
		return common;
	}

	private static List<List<Integer>> renumber(List<List<Integer>> after, int[] numberOf) {
		List<List<Integer>> renumbered = new ArrayList<>();
		for (List<Integer> ranks : after) {
			renumbered.add(ranks.stream().map((rank) -> numberOf[rank]).sorted().toList());
		}
		return renumbered;
	}

	/**
	 * Counts the replicas that must be loaded.
	 * @param before for each expert its old ranks
	 * @param after for each expert its new ranks
	 * @return how many experts are moved
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
