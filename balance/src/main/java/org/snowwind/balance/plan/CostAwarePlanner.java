package org.snowwind.balance.plan;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Moves an expert only where the skew it takes away is worth more than the move.
 *
 * <p>
 * For each layer a chain of changes relieves the hottest rank again and again: an expert
 * is moved off it, swapped with a colder one, or given another replica elsewhere. Of each
 * chain the stretch with the best gain for each move is taken, best stretch of all layers
 * first, until nothing pays or the weight store has no more time. Hysteresis comes out of
 * the cost: what does not pay is not done, and nothing has to be timed.
 */
public final class CostAwarePlanner implements MapPlanner {

	private static final int MAX_CHAIN = 48;

	private static final double NOTHING = 1e-9;

	private final BalanceCost cost;

	/**
	 * Creates the planner.
	 * @param cost what skew and moves cost
	 */
	public CostAwarePlanner(BalanceCost cost) {
		this.cost = cost;
	}

	@Override
	public ExpertPlacement plan(ExpertPlacement current, double[][] demand, int maxMoves) {
		double meanOfAll = 0;
		List<LayerPlacement> layers = new ArrayList<>();
		for (int layer = 0; layer < demand.length; layer++) {
			LayerPlacement placement = current.layer(layer, demand[layer]);
			layers.add(placement);
			meanOfAll += placement.meanLoad();
		}
		if (meanOfAll <= 0) {
			return current;
		}
		List<List<List<Integer>>> planned = new ArrayList<>(current.ranksOf());
		boolean changed = take(layers, meanOfAll, maxMoves, planned);
		return changed ? new ExpertPlacement(current.ranks(), current.slotsPerRank(), planned) : current;
	}

	private boolean take(List<LayerPlacement> layers, double meanOfAll, int maxMoves,
			List<List<List<Integer>>> planned) {
		PriorityQueue<Stretch> best = new PriorityQueue<>(
				Comparator.comparingDouble((stretch) -> -stretch.gainPerMove()));
		for (int layer = 0; layer < layers.size(); layer++) {
			addStretches(best, layer, layers.get(layer), meanOfAll);
		}
		int movesLeft = maxMoves;
		boolean changed = false;
		int[] takenOf = new int[layers.size()];
		while (!best.isEmpty()) {
			Stretch stretch = best.poll();
			boolean inOrder = stretch.number() == takenOf[stretch.layer()];
			if (!inOrder || stretch.moves() > movesLeft) {
				continue;
			}
			takenOf[stretch.layer()]++;
			movesLeft -= stretch.moves();
			planned.set(stretch.layer(), stretch.result());
			changed = true;
		}
		return changed;
	}

	// Cuts a layer's chain into stretches of falling gain per move, each of which pays.
	private void addStretches(PriorityQueue<Stretch> into, int layer, LayerPlacement placement, double meanOfAll) {
		List<Link> chain = chain(placement);
		int from = 0;
		int number = 0;
		while (from < chain.size() - 1) {
			int to = steepest(chain, from);
			if (to < 0) {
				return;
			}
			int moves = chain.get(to).moves() - chain.get(from).moves();
			double lessSkew = (chain.get(from).maxLoad() - chain.get(to).maxLoad()) / meanOfAll;
			double net = this.cost.gainOf(lessSkew) - this.cost.costOf(moves);
			if (net <= 0) {
				return;
			}
			into.add(new Stretch(layer, number, moves, net / moves, chain.get(to).result()));
			number++;
			from = to;
		}
	}

	private static int steepest(List<Link> chain, int from) {
		int best = -1;
		double bestSlope = NOTHING;
		for (int to = from + 1; to < chain.size(); to++) {
			int moves = chain.get(to).moves() - chain.get(from).moves();
			double slope = (chain.get(from).maxLoad() - chain.get(to).maxLoad()) / moves;
			if (slope > bestSlope) {
				bestSlope = slope;
				best = to;
			}
		}
		return best;
	}

	private static List<Link> chain(LayerPlacement placement) {
		List<Link> chain = new ArrayList<>();
		chain.add(new Link(0, placement.maxLoad(), placement.toLists()));
		int moves = 0;
		for (int i = 0; i < MAX_CHAIN; i++) {
			Change change = Change.bestFor(placement);
			if (change == null) {
				return chain;
			}
			change.apply(placement);
			moves += change.moves();
			chain.add(new Link(moves, placement.maxLoad(), placement.toLists()));
		}
		return chain;
	}

	private record Link(int moves, double maxLoad, List<List<Integer>> result) {
	}

	private record Stretch(int layer, int number, int moves, double gainPerMove, List<List<Integer>> result) {
	}

}
