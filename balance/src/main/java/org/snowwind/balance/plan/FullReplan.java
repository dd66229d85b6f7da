package org.snowwind.balance.plan;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;

/**
 * Published baseline that plans from scratch each time: it replicates the hottest experts
 * and then packs the replicas, the most loaded first.
 */
public final class FullReplan implements MapPlanner {

	@Override
	public ExpertPlacement plan(ExpertPlacement current, double[][] demand, double relativeError, int maxMoves) {
		List<List<List<Integer>>> layers = new ArrayList<>();
		for (double[] layerDemand : demand) {
			layers.add(pack(layerDemand, current.ranks(), current.slotsPerRank()));
		}
		return new ExpertPlacement(current.ranks(), current.slotsPerRank(), layers);
	}

	static List<List<Integer>> pack(LayerPlacement layer) {
		return pack(layer.demand(), layer.ranks(), layer.slots());
	}

	private static List<List<Integer>> pack(double[] demand, int ranks, int slots) {
		int[] replicas = replicate(demand, ranks, slots);
		List<Integer> order = new ArrayList<>();
		for (int expert = 0; expert < demand.length; expert++) {
			order.addAll(Collections.nCopies(replicas[expert], expert));
		}
		order.sort(Comparator.comparingDouble((expert) -> -demand[expert] / replicas[expert]));
		List<List<Integer>> ranksOf = new ArrayList<>();
		for (int expert = 0; expert < demand.length; expert++) {
			ranksOf.add(new ArrayList<>());
		}
		double[] loads = new double[ranks];
		int[] used = new int[ranks];
		for (int expert : order) {
			int rank = leastLoaded(loads, used, slots, ranksOf.get(expert));
			if (rank >= 0) {
				ranksOf.get(expert).add(rank);
				loads[rank] += demand[expert] / replicas[expert];
				used[rank]++;
			}
		}
		return ranksOf.stream().map(List::copyOf).toList();
	}

	private static int[] replicate(double[] demand, int ranks, int slots) {
		int[] replicas = new int[demand.length];
		Arrays.fill(replicas, 1);
		for (int extra = demand.length; extra < ranks * slots; extra++) {
			int hottest = -1;
			for (int expert = 0; expert < demand.length; expert++) {
				boolean canReplicate = replicas[expert] < ranks;
				if (canReplicate
						&& (hottest < 0 || demand[expert] / replicas[expert] > demand[hottest] / replicas[hottest])) {
					hottest = expert;
				}
			}
			replicas[hottest]++;
		}
		return replicas;
	}

	private static int leastLoaded(double[] loads, int[] used, int slots, List<Integer> holders) {
		int least = -1;
		for (int rank = 0; rank < loads.length; rank++) {
			boolean fits = used[rank] < slots && !holders.contains(rank);
			if (fits && (least < 0 || loads[rank] < loads[least])) {
				least = rank;
			}
		}
		return least;
	}

}
