package org.snowwind.balance.plan;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Moves an expert only if the reduction of the skew is worth more than the move costs.
 *
 * <p>
 * For each layer, the planner computes a sequence of changes, each of which relieves the
 * rank that is then the hottest: an expert is moved off it, swapped with a colder one, or
 * given another replica elsewhere. Each sequence is divided into segments. The segment
 * with the highest gain per move of all layers is taken first, until no segment is worth
 * its cost or the weight store can deliver no more experts. Hysteresis follows from the
 * cost: a change that is not worth its cost is not made, so no timer is needed.
 */
public final class CostAwarePlanner implements MapPlanner {

	private static final int MAX_CHANGES = 48;

	/**
	 * The number of standard errors of the hottest rank's load that a relief must exceed.
	 */
	private static final double NOISE_SIGMAS = 4;

	private static final double MIN_RELIEF_PER_MOVE = 1e-9;

	private final BalanceCost cost;

	/**
	 * Creates the planner.
	 * @param cost the costs of skew and of moves
	 */
	public CostAwarePlanner(BalanceCost cost) {
		this.cost = cost;
	}

	@Override
	public ExpertPlacement plan(ExpertPlacement current, double[][] demand, double relativeError, int maxMoves) {
		double sumOfMeans = 0;
		List<LayerPlacement> layers = new ArrayList<>();
		for (int layer = 0; layer < demand.length; layer++) {
			LayerPlacement placement = current.layer(layer, demand[layer]);
			layers.add(placement);
			sumOfMeans += placement.meanLoad();
		}
		if (sumOfMeans <= 0) {
			return current;
		}
		List<List<List<Integer>>> planned = new ArrayList<>(current.ranksOf());
		boolean changed = takeSegments(layers, new Scale(sumOfMeans, relativeError), maxMoves, planned);
		return changed ? new ExpertPlacement(current.ranks(), current.slotsPerRank(), planned) : current;
	}

	private boolean takeSegments(List<LayerPlacement> layers, Scale scale, int maxMoves,
			List<List<List<Integer>>> planned) {
		PriorityQueue<Segment> best = new PriorityQueue<>(
				Comparator.comparingDouble((segment) -> -segment.gainPerMove()));
		for (int layer = 0; layer < layers.size(); layer++) {
			addSegments(best, layer, layers.get(layer), scale);
		}
		int movesLeft = maxMoves;
		boolean changed = false;
		int[] nextSegmentOf = new int[layers.size()];
		while (!best.isEmpty()) {
			Segment segment = best.poll();
			boolean inOrder = segment.number() == nextSegmentOf[segment.layer()];
			if (!inOrder || segment.moves() > movesLeft) {
				continue;
			}
			nextSegmentOf[segment.layer()]++;
			movesLeft -= segment.moves();
			planned.set(segment.layer(), segment.result());
			changed = true;
		}
		return changed;
	}

	// Divides the sequence of a layer into segments of decreasing gain per move, each of
	// which is worth its cost.
	private void addSegments(PriorityQueue<Segment> segments, int layer, LayerPlacement placement, Scale scale) {
		double noise = scale.noiseThreshold(placement);
		List<Candidate> sequence = sequence(placement);
		int from = 0;
		int number = 0;
		while (from < sequence.size() - 1) {
			int to = endOfBestSegment(sequence, from);
			if (to < 0) {
				return;
			}
			int moves = sequence.get(to).moves() - sequence.get(from).moves();
			double reduction = sequence.get(from).maxLoad() - sequence.get(to).maxLoad();
			double netGain = this.cost.gainOfSkewReduction(reduction / scale.sumOfMeans())
					- this.cost.costOfMoves(moves);
			boolean exceedsNoise = sequence.get(0).maxLoad() - sequence.get(to).maxLoad() > noise;
			if (netGain <= 0 || !exceedsNoise) {
				return;
			}
			segments.add(new Segment(layer, number, moves, netGain / moves, sequence.get(to).result()));
			number++;
			from = to;
		}
	}

	private static int endOfBestSegment(List<Candidate> sequence, int from) {
		int best = -1;
		double maxReliefPerMove = MIN_RELIEF_PER_MOVE;
		for (int to = from + 1; to < sequence.size(); to++) {
			int moves = sequence.get(to).moves() - sequence.get(from).moves();
			double reliefPerMove = (sequence.get(from).maxLoad() - sequence.get(to).maxLoad()) / moves;
			if (reliefPerMove > maxReliefPerMove) {
				maxReliefPerMove = reliefPerMove;
				best = to;
			}
		}
		return best;
	}

	private static List<Candidate> sequence(LayerPlacement placement) {
		List<Candidate> sequence = new ArrayList<>();
		sequence.add(new Candidate(0, placement.maxLoad(), placement.toLists()));
		addRepacked(sequence, placement);
		int moves = 0;
		for (int i = 0; i < MAX_CHANGES; i++) {
			Change change = Change.bestFor(placement);
			if (change == null) {
				break;
			}
			change.apply(placement);
			moves += change.moves();
			sequence.add(new Candidate(moves, placement.maxLoad(), placement.toLists()));
		}
		sequence.sort(Comparator.comparingInt(Candidate::moves));
		return sequence;
	}

	// Repacking the whole layer helps where no single change does. It is added to the
	// sequence as one more candidate.
	private static void addRepacked(List<Candidate> sequence, LayerPlacement placement) {
		List<List<Integer>> before = placement.toLists();
		List<List<Integer>> packed = RankMatching.closest(before, FullReplan.pack(placement), placement.ranks());
		int moves = RankMatching.moves(before, packed);
		LayerPlacement repacked = placement.withRanks(packed);
		if (moves > 0) {
			sequence.add(new Candidate(moves, repacked.maxLoad(), packed));
		}
	}

	/**
	 * Reference values to which loads are compared.
	 *
	 * @param sumOfMeans the sum of the mean rank loads of all layers
	 * @param relativeError the relative error of the demand for an expert
	 */
	private record Scale(double sumOfMeans, double relativeError) {

		// The hottest rank is the maximum of many ranks, each with the errors of its
		// experts.
		private double noiseThreshold(LayerPlacement placement) {
			int hottest = placement.hottestRank();
			double sumOfSquares = 0;
			for (int expert : placement.expertsOn(hottest)) {
				sumOfSquares += Math.pow(placement.shareOf(expert), 2);
			}
			return NOISE_SIGMAS * this.relativeError * Math.sqrt(sumOfSquares);
		}

	}

	private record Candidate(int moves, double maxLoad, List<List<Integer>> result) {
	}

	private record Segment(int layer, int number, int moves, double gainPerMove, List<List<Integer>> result) {
	}

}
