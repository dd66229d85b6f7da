package org.snowwind.balance.plan;

import java.util.ArrayList;
import java.util.List;

/**
 * Takes the changes that relieve the hottest ranks most, as long as no rank has to copy
 * more than a few experts.
 *
 * <p>
 * Where demand moves within seconds, a plan is worth only what is in force soon: a few
 * good changes now, and the next few with the next plan.
 */
public final class IncrementalPlanner {

	private final Caps caps;

	/**
	 * Creates the planner.
	 * @param caps how much one plan may change
	 */
	public IncrementalPlanner(Caps caps) {
		this.caps = caps;
	}

	/**
	 * Plans the next placement.
	 * @param current the placement in force
	 * @param demand what each expert is asked for, by layer and expert
	 * @return the next placement, which may be the current one
	 */
	public ExpertPlacement plan(ExpertPlacement current, double[][] demand) {
		List<LayerPlacement> layers = new ArrayList<>();
		for (int layer = 0; layer < demand.length; layer++) {
			layers.add(current.layer(layer, demand[layer]));
		}
		CopyLedger ledger = new CopyLedger(this.caps, layers.size(), current.ranks());
		double leastRelief = this.caps.leastRelief() * layers.stream().mapToDouble(LayerPlacement::meanLoad).sum();
		boolean changed = true;
		while (changed) {
			changed = takeBest(layers, ledger, leastRelief);
		}
		return new ExpertPlacement(current.ranks(), current.slotsPerRank(),
				layers.stream().map(LayerPlacement::toLists).toList());
	}

	private static boolean takeBest(List<LayerPlacement> layers, CopyLedger ledger, double leastRelief) {
		Change best = null;
		int bestLayer = 0;
		double bestRelief = leastRelief;
		for (int layer = 0; layer < layers.size(); layer++) {
			int ofLayer = layer;
			LayerPlacement placement = layers.get(layer);
			Change change = Change.bestFor(placement, (rank) -> ledger.mayCopy(ofLayer, rank));
			double relief = (change != null) ? reliefOf(placement, change) : 0;
			if (relief > bestRelief) {
				best = change;
				bestLayer = layer;
				bestRelief = relief;
			}
		}
		if (best == null) {
			return false;
		}
		best.apply(layers.get(bestLayer));
		ledger.copied(bestLayer, best.cold());
		if (best.displacedGoesHot()) {
			ledger.copied(bestLayer, best.hot());
		}
		return true;
	}

	private static double reliefOf(LayerPlacement placement, Change change) {
		double before = placement.load(change.hot());
		LayerPlacement after = placement.placed(placement.toLists());
		change.apply(after);
		return (before - Math.max(after.load(change.hot()), after.load(change.cold()))) / change.moves();
	}

	/**
	 * How much one plan may change.
	 *
	 * @param newPerLayer how many experts of one layer may be new to a rank
	 * @param newPerRank how many experts of all layers may be new to a rank
	 * @param leastRelief by how much a copy must relieve the hottest rank of a layer, in
	 * parts of the mean load of all layers
	 */
	public record Caps(int newPerLayer, int newPerRank, double leastRelief) {

	}

	/**
	 * Counts what each rank has to copy.
	 */
	private static final class CopyLedger {

		private final Caps caps;

		private final int[][] byLayer;

		private final int[] byRank;

		private CopyLedger(Caps caps, int layers, int ranks) {
			this.caps = caps;
			this.byLayer = new int[layers][ranks];
			this.byRank = new int[ranks];
		}

		private boolean mayCopy(int layer, int rank) {
			return this.byLayer[layer][rank] < this.caps.newPerLayer() && this.byRank[rank] < this.caps.newPerRank();
		}

		private void copied(int layer, int rank) {
			this.byLayer[layer][rank]++;
			this.byRank[rank]++;
		}

	}

}
