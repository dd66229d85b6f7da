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

	/** A relief must exceed so many standard errors of the hottest rank's load. */
	private static final double NOISE_SIGMAS = 4;

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
	public ExpertPlacement plan(ExpertPlacement current, double[][] demand, double relativeError, int maxMoves) {
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
		boolean changed = take(layers, new Scale(meanOfAll, relativeError), maxMoves, planned);
		return changed ? new ExpertPlacement(current.ranks(), current.slotsPerRank(), planned) : current;
	}

	private boolean take(List<LayerPlacement> layers, Scale scale, int maxMoves, List<List<List<Integer>>> planned) {
		PriorityQueue<Stretch> best = new PriorityQueue<>(
				Comparator.comparingDouble((stretch) -> -stretch.gainPerMove()));
		for (int layer = 0; layer < layers.size(); layer++) {
			addStretches(best, layer, layers.get(layer), scale);
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
	private void addStretches(PriorityQueue<Stretch> into, int layer, LayerPlacement placement, Scale scale) {
		double noise = scale.noiseOf(placement);
		List<Link> chain = chain(placement);
		int from = 0;
		int number = 0;
		while (from < chain.size() - 1) {
			int to = steepest(chain, from);
			if (to < 0) {
				return;
			}
			int moves = chain.get(to).moves() - chain.get(from).moves();
			double relief = chain.get(from).maxLoad() - chain.get(to).maxLoad();
			double net = this.cost.gainOf(relief / scale.meanOfAll()) - this.cost.costOf(moves);
			boolean seen = chain.get(0).maxLoad() - chain.get(to).maxLoad() > noise;
			if (net <= 0 || !seen) {
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
		addPackedAnew(chain, placement);
		int moves = 0;
		for (int i = 0; i < MAX_CHAIN; i++) {
			Change change = Change.bestFor(placement);
			if (change == null) {
				break;
			}
			change.apply(placement);
			moves += change.moves();
			chain.add(new Link(moves, placement.maxLoad(), placement.toLists()));
		}
		chain.sort(Comparator.comparingInt(Link::moves));
		return chain;
	}

	// Packing anew escapes where no single change helps; it is one more link of the
	// chain.
	private static void addPackedAnew(List<Link> chain, LayerPlacement placement) {
		List<List<Integer>> before = placement.toLists();
		List<List<Integer>> packed = RankMatching.closest(before, FullReplan.pack(placement), placement.ranks());
		int moves = RankMatching.moves(before, packed);
		LayerPlacement loaded = placement.placed(packed);
		if (moves > 0) {
			chain.add(new Link(moves, loaded.maxLoad(), packed));
		}
	}

	/**
	 * What loads are compared with.
	 *
	 * @param meanOfAll the mean rank's load over all layers
	 * @param relativeError how far an expert's demand may be off
	 */
	private record Scale(double meanOfAll, double relativeError) {

		// The hottest rank is the highest of many, each off by some experts' errors.
		private double noiseOf(LayerPlacement placement) {
			int hot = placement.hottestRank();
			double squares = 0;
			for (int expert : placement.expertsOn(hot)) {
				squares += Math.pow(placement.shareOf(expert), 2);
			}
			return NOISE_SIGMAS * this.relativeError * Math.sqrt(squares);
		}

	}

	private record Link(int moves, double maxLoad, List<List<Integer>> result) {
	}

	private record Stretch(int layer, int number, int moves, double gainPerMove, List<List<Integer>> result) {
	}

}
