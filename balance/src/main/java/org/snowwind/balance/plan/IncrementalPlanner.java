package org.snowwind.balance.plan;

import java.util.ArrayList;
import java.util.List;

/**
 * Makes the changes that relieve the hottest ranks most, within limits on how many
 * experts a rank must copy.
 *
 * <p>
 * If demand changes within seconds, a plan is only useful if it takes effect soon. This
 * planner therefore makes a few good changes, and leaves further ones to the next plan.
 */
public final class IncrementalPlanner {

	private final Caps caps;

	/**
	 * Creates the planner.
	 * @param caps the limits on the changes of one plan
	 */
	public IncrementalPlanner(Caps caps) {
		this.caps = caps;
	}

	/**
	 * Plans the next placement.
	 * @param current the placement in force
	 * @param demand the demand for each expert, by layer and expert
	 * @return the next placement, which may be the current one
	 */
	public ExpertPlacement plan(ExpertPlacement current, double[][] demand) {
		List<LayerPlacement> layers = new ArrayList<>();
		for (int layer = 0; layer < demand.length; layer++) {
			layers.add(current.layer(layer, demand[layer]));
		}
		CopyCounts copyCounts = new CopyCounts(this.caps, layers.size(), current.ranks());
		double leastRelief = this.caps.leastRelief() * layers.stream().mapToDouble(LayerPlacement::meanLoad).sum();
		List<BestChange> bestChanges = new ArrayList<>();
		for (int layer = 0; layer < layers.size(); layer++) {
			bestChanges.add(search(layers, layer, copyCounts));
		}
		while (applyBest(layers, bestChanges, copyCounts, leastRelief)) {
			replaceDisallowedChanges(layers, bestChanges, copyCounts);
		}
		return new ExpertPlacement(current.ranks(), current.slotsPerRank(),
				layers.stream().map(LayerPlacement::toLists).toList());
	}

	private static BestChange search(List<LayerPlacement> layers, int layer, CopyCounts copyCounts) {
		LayerPlacement placement = layers.get(layer);
		Change change = Change.bestFor(placement, (rank) -> copyCounts.mayCopy(layer, rank));
		return (change != null) ? new BestChange(change, reliefOf(placement, change)) : BestChange.NONE;
	}

	private static boolean applyBest(List<LayerPlacement> layers, List<BestChange> bestChanges, CopyCounts copyCounts,
			double leastRelief) {
		int bestLayer = -1;
		double bestRelief = leastRelief;
		for (int layer = 0; layer < layers.size(); layer++) {
			if (bestChanges.get(layer).relief() > bestRelief) {
				bestLayer = layer;
				bestRelief = bestChanges.get(layer).relief();
			}
		}
		if (bestLayer < 0) {
			return false;
		}
		Change best = bestChanges.get(bestLayer).change();
		best.apply(layers.get(bestLayer));
		copyCounts.recordCopy(bestLayer, best.cold());
		if (best.displacedMovesToHot()) {
			copyCounts.recordCopy(bestLayer, best.hot());
		}
		bestChanges.set(bestLayer, search(layers, bestLayer, copyCounts));
		return true;
	}

	// The best change of another layer remains the best of that layer unless its copies
	// would now exceed a limit.
	private static void replaceDisallowedChanges(List<LayerPlacement> layers, List<BestChange> bestChanges,
			CopyCounts copyCounts) {
		for (int layer = 0; layer < layers.size(); layer++) {
			Change change = bestChanges.get(layer).change();
			boolean stillAllowed = change == null || (copyCounts.mayCopy(layer, change.cold())
					&& (!change.displacedMovesToHot() || copyCounts.mayCopy(layer, change.hot())));
			if (!stillAllowed) {
				bestChanges.set(layer, search(layers, layer, copyCounts));
			}
		}
	}

	private static double reliefOf(LayerPlacement placement, Change change) {
		double before = placement.load(change.hot());
		LayerPlacement after = placement.withRanks(placement.toLists());
		change.apply(after);
		return (before - Math.max(after.load(change.hot()), after.load(change.cold()))) / change.moves();
	}

	/**
	 * Limits on the changes of one plan.
	 *
	 * @param newPerLayer the maximum number of experts of one layer that a rank must copy
	 * @param newPerRank the maximum number of experts of all layers that a rank must copy
	 * @param leastRelief the amount by which a copy must relieve the hottest rank of a
	 * layer, as a fraction of the sum of the mean rank loads of all layers
	 */
	public record Caps(int newPerLayer, int newPerRank, double leastRelief) {

	}

	/**
	 * Best change of a layer.
	 *
	 * @param change the change, {@code null} if there is none
	 * @param relief the relief of the hottest rank per copy
	 */
	private record BestChange(Change change, double relief) {

		private static final BestChange NONE = new BestChange(null, 0);

	}

	/**
	 * Counts the experts that each rank has to copy.
	 */
	private static final class CopyCounts {

		private final Caps caps;

		private final int[][] byLayer;

		private final int[] byRank;

		private CopyCounts(Caps caps, int layers, int ranks) {
			this.caps = caps;
			this.byLayer = new int[layers][ranks];
			this.byRank = new int[ranks];
		}

		private boolean mayCopy(int layer, int rank) {
			return this.byLayer[layer][rank] < this.caps.newPerLayer() && this.byRank[rank] < this.caps.newPerRank();
		}

		private void recordCopy(int layer, int rank) {
			this.byLayer[layer][rank]++;
			this.byRank[rank]++;
		}

	}

}
