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
		List<Found> found = new ArrayList<>();
		for (int layer = 0; layer < layers.size(); layer++) {
			found.add(search(layers, layer, ledger));
		}
		while (takeBest(layers, found, ledger, leastRelief)) {
			renew(layers, found, ledger);
		}
		return new ExpertPlacement(current.ranks(), current.slotsPerRank(),
				layers.stream().map(LayerPlacement::toLists).toList());
	}

	private static Found search(List<LayerPlacement> layers, int layer, CopyLedger ledger) {
		LayerPlacement placement = layers.get(layer);
		Change change = Change.bestFor(placement, (rank) -> ledger.mayCopy(layer, rank));
		return (change != null) ? new Found(change, reliefOf(placement, change)) : Found.NOTHING;
	}

	private static boolean takeBest(List<LayerPlacement> layers, List<Found> found, CopyLedger ledger,
			double leastRelief) {
		int bestLayer = -1;
		double bestRelief = leastRelief;
		for (int layer = 0; layer < layers.size(); layer++) {
			if (found.get(layer).relief() > bestRelief) {
				bestLayer = layer;
				bestRelief = found.get(layer).relief();
			}
		}
		if (bestLayer < 0) {
			return false;
		}
		Change best = found.get(bestLayer).change();
		best.apply(layers.get(bestLayer));
		ledger.copied(bestLayer, best.cold());
		if (best.displacedGoesHot()) {
			ledger.copied(bestLayer, best.hot());
		}
		found.set(bestLayer, search(layers, bestLayer, ledger));
		return true;
	}

	// A change of another layer stays the best of its layer unless its copies are no
	// longer allowed.
	private static void renew(List<LayerPlacement> layers, List<Found> found, CopyLedger ledger) {
		for (int layer = 0; layer < layers.size(); layer++) {
			Change change = found.get(layer).change();
			boolean stands = change == null || (ledger.mayCopy(layer, change.cold())
					&& (!change.displacedGoesHot() || ledger.mayCopy(layer, change.hot())));
			if (!stands) {
				found.set(layer, search(layers, layer, ledger));
			}
		}
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
	 * The best change of a layer.
	 *
	 * @param change the change, {@code null} if there is none
	 * @param relief by how much each of its copies relieves the hottest rank
	 */
	private record Found(Change change, double relief) {

		private static final Found NOTHING = new Found(null, 0);

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
