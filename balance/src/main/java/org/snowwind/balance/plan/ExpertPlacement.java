package org.snowwind.balance.plan;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Immutable assignment of experts to ranks.
 *
 * @param ranks the number of ranks in the group
 * @param slotsPerRank the number of experts of one layer that fit on a rank
 * @param ranksOf the ranks of each expert, by layer and expert
 */
public record ExpertPlacement(int ranks, int slotsPerRank, List<List<List<Integer>>> ranksOf) {

	/**
	 * Creates a placement with a copy of the list.
	 */
	public ExpertPlacement {
		ranksOf = List.copyOf(ranksOf);
	}

	/**
	 * Places experts on the ranks in turn, without regard to demand.
	 * @param layers the number of layers
	 * @param experts the number of experts in each layer
	 * @param ranks the number of ranks
	 * @param slotsPerRank the number of experts of one layer that fit on a rank
	 * @return the placement, every slot in use
	 */
	public static ExpertPlacement roundRobin(int layers, int experts, int ranks, int slotsPerRank) {
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
	 * @return the sum over all layers of the highest rank load, divided by the sum of the
	 * mean loads, minus 1
	 */
	public double skew(double[][] demand) {
		double slowest = 0;
		double mean = 0;
		for (int layer = 0; layer < this.ranksOf.size(); layer++) {
			LayerPlacement placement = layer(layer, demand[layer]);
			slowest += placement.maxLoad();
			mean += placement.meanLoad();
		}
		return (mean > 0) ? slowest / mean - 1 : 0;
	}

	/**
	 * Returns how many replicas the ranks must load to change from another placement to
	 * this one.
	 * @param before the other placement
	 * @return the number of expert weights that are moved
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
