package org.snowwind.balance.plan;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Which ranks hold which experts, immutable.
 *
 * @param ranks how many ranks the group has
 * @param slotsPerRank how many experts of one layer fit on a rank
 * @param ranksOf for each layer, for each expert, its ranks
 */
public record ExpertPlacement(int ranks, int slotsPerRank, List<List<List<Integer>>> ranksOf) {

	/**
	 * Copies the list.
	 */
	public ExpertPlacement {
		ranksOf = List.copyOf(ranksOf);
	}

	/**
	 * Places experts by turns, with no knowledge of demand.
	 * @param layers how many layers there are
	 * @param experts how many experts each has
	 * @param ranks how many ranks there are
	 * @param slotsPerRank how many experts of one layer fit on a rank
	 * @return the placement, every slot in use
	 */
	public static ExpertPlacement byTurns(int layers, int experts, int ranks, int slotsPerRank) {
		List<List<Integer>> layer = new ArrayList<>();
		for (int expert = 0; expert < experts; expert++) {
			layer.add(new ArrayList<>());
		}
		for (int slot = 0; slot < ranks * slotsPerRank; slot++) {
			List<Integer> holders = layer.get(slot % experts);
			int rank = slot % ranks;
			if (!holders.contains(rank)) {
				holders.add(rank);
			}
		}
		List<List<List<Integer>>> all = new ArrayList<>();
		for (int i = 0; i < layers; i++) {
			all.add(layer.stream().map(List::copyOf).toList());
		}
		return new ExpertPlacement(ranks, slotsPerRank, all);
	}

	/**
	 * Returns the step-time skew under a demand.
	 * @param demand tokens by layer and expert
	 * @return the slowest ranks' time over the mean, less 1
	 */
	public double skew(double[][] demand) {
		double slowest = 0;
		double mean = 0;
		for (int layer = 0; layer < this.ranksOf.size(); layer++) {
			LayerPlacement loaded = layer(layer, demand[layer]);
			slowest += loaded.maxLoad();
			mean += loaded.meanLoad();
		}
		return (mean > 0) ? slowest / mean - 1 : 0;
	}

	/**
	 * Counts the replicas that a rank must load to come from another placement to this
	 * one.
	 * @param before the other placement
	 * @return how many expert weights are moved
	 */
	public int movesFrom(ExpertPlacement before) {
		int moves = 0;
		for (int layer = 0; layer < this.ranksOf.size(); layer++) {
			for (int expert = 0; expert < this.ranksOf.get(layer).size(); expert++) {
				Set<Integer> held = new HashSet<>(before.ranksOf.get(layer).get(expert));
				moves += (int) this.ranksOf.get(layer)
					.get(expert)
					.stream()
					.filter((rank) -> !held.contains(rank))
					.count();
			}
		}
		return moves;
	}

	LayerPlacement layer(int layer, double[] demand) {
		return new LayerPlacement(this.ranksOf.get(layer), this.ranks, this.slotsPerRank, demand);
	}

}
