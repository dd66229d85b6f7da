package org.snowwind.balance.plan;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Mutable assignment of the experts of one layer to ranks, with the load of each rank,
 * for use while planning. The demand for an expert is shared evenly by its replicas.
 */
final class LayerPlacement {

	private final int slots;

	private final boolean[][] holds;

	private final int[] replicas;

	private final int[] used;

	private final double[] demand;

	private final double[] loads;

	/**
	 * Copies a placement and computes the rank loads for a demand.
	 * @param ranksOfExpert the ranks of each expert
	 * @param ranks the number of ranks
	 * @param slots the number of experts that fit on a rank
	 * @param demand the demand for each expert
	 */
	LayerPlacement(List<List<Integer>> ranksOfExpert, int ranks, int slots, double[] demand) {
		int experts = ranksOfExpert.size();
		this.slots = slots;
		this.holds = new boolean[experts][ranks];
		this.replicas = new int[experts];
		this.used = new int[ranks];
		this.demand = demand.clone();
		this.loads = new double[ranks];
		for (int expert = 0; expert < experts; expert++) {
			for (int rank : ranksOfExpert.get(expert)) {
				add(expert, rank);
			}
		}
	}

	/**
	 * Creates another placement with the same demand.
	 * @param ranksOfExpert the ranks of each expert
	 * @return the other placement
	 */
	LayerPlacement withRanks(List<List<Integer>> ranksOfExpert) {
		return new LayerPlacement(ranksOfExpert, this.loads.length, this.slots, this.demand);
	}

	int slots() {
		return this.slots;
	}

	double[] demand() {
		return this.demand.clone();
	}

	/**
	 * Adds a replica of an expert to a rank.
	 * @param expert the expert
	 * @param rank the rank, which must have a free slot and no replica of the expert
	 */
	void add(int expert, int rank) {
		addShares(expert, -1);
		this.holds[expert][rank] = true;
		this.replicas[expert]++;
		this.used[rank]++;
		addShares(expert, 1);
	}

	/**
	 * Removes a replica of an expert from a rank.
	 * @param expert the expert
	 * @param rank the rank that holds the replica
	 */
	void remove(int expert, int rank) {
		addShares(expert, -1);
		this.holds[expert][rank] = false;
		this.replicas[expert]--;
		this.used[rank]--;
		addShares(expert, 1);
	}

	private void addShares(int expert, int sign) {
		if (this.replicas[expert] == 0) {
			return;
		}
		double share = sign * this.demand[expert] / this.replicas[expert];
		for (int rank = 0; rank < this.loads.length; rank++) {
			if (this.holds[expert][rank]) {
				this.loads[rank] += share;
			}
		}
	}

	boolean holds(int expert, int rank) {
		return this.holds[expert][rank];
	}

	int replicas(int expert) {
		return this.replicas[expert];
	}

	boolean full(int rank) {
		return this.used[rank] >= this.slots;
	}

	int ranks() {
		return this.loads.length;
	}

	int experts() {
		return this.replicas.length;
	}

	double shareOf(int expert) {
		return this.demand[expert] / this.replicas[expert];
	}

	double load(int rank) {
		return this.loads[rank];
	}

	int hottestRank() {
		int hottest = 0;
		for (int rank = 1; rank < this.loads.length; rank++) {
			if (this.loads[rank] > this.loads[hottest]) {
				hottest = rank;
			}
		}
		return hottest;
	}

	double maxLoad() {
		return this.loads[hottestRank()];
	}

	double meanLoad() {
		return Arrays.stream(this.loads).average().orElse(0);
	}

	List<Integer> expertsOn(int rank) {
		List<Integer> experts = new ArrayList<>();
		for (int expert = 0; expert < this.holds.length; expert++) {
			if (this.holds[expert][rank]) {
				experts.add(expert);
			}
		}
		return experts;
	}

	List<List<Integer>> toLists() {
		List<List<Integer>> lists = new ArrayList<>();
		for (boolean[] holders : this.holds) {
			List<Integer> ranks = new ArrayList<>();
			for (int rank = 0; rank < holders.length; rank++) {
				if (holders[rank]) {
					ranks.add(rank);
				}
			}
			lists.add(List.copyOf(ranks));
		}
		return List.copyOf(lists);
	}

}
