package org.snowwind.app.measure.balance;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.Random;

import org.snowwind.balance.demand.DemandEstimate;
import org.snowwind.balance.plan.BalanceCost;
import org.snowwind.balance.plan.ExpertPlacement;
import org.snowwind.balance.plan.MapPlanner;

/**
 * Runs one planner over one trace: counts come a period late and with gaps, and a new map
 * is in force only when the weight store has delivered it.
 */
final class TraceRun {

	/** How long a period lasts, in seconds. */
	static final double PERIOD_SECONDS = 30;

	private static final double GAP_SHARE = 0.05;

	private static final double GIGABYTES_PER_SECOND = 2;

	private static final int WARM_UP_PERIODS = 20;

	private final BalanceCost cost;

	private ExpertPlacement inForce;

	private final double[] skews;

	private int moves;

	private int movesAfterWarmUp;

	private int changes;

	TraceRun(DemandTrace trace, MapPlanner planner, ExpertPlacement start, BalanceCost cost, long seed) {
		this.cost = cost;
		this.inForce = start;
		this.skews = new double[trace.periods()];
		run(trace, planner, new Random(seed));
	}

	private void run(DemandTrace trace, MapPlanner planner, Random random) {
		double[][] firstDemand = trace.demandAt(0);
		DemandEstimate estimate = new DemandEstimate(firstDemand.length, firstDemand[0].length);
		Deque<double[][]> late = new ArrayDeque<>();
		int maxMoves = (int) (PERIOD_SECONDS * GIGABYTES_PER_SECOND / this.cost.expertGigabytes());
		ExpertPlacement coming = this.inForce;
		for (int period = 0; period < trace.periods(); period++) {
			this.inForce = coming;
			double[][] demand = trace.demandAt(period);
			this.skews[period] = this.inForce.skew(demand);
			late.add(withGaps(demand, random));
			if (late.size() > 1) {
				estimate.observe(late.removeFirst());
				coming = planner.plan(this.inForce, estimate.expected(), estimate.relativeError(), maxMoves);
				note(coming.movesFrom(this.inForce), period);
			}
		}
	}

	private void note(int newMoves, int period) {
		this.moves += newMoves;
		this.changes += (newMoves > 0) ? 1 : 0;
		if (period >= WARM_UP_PERIODS) {
			this.movesAfterWarmUp += newMoves;
		}
	}

	private static double[][] withGaps(double[][] demand, Random random) {
		double[][] seen = new double[demand.length][];
		for (int layer = 0; layer < demand.length; layer++) {
			seen[layer] = (random.nextDouble() < GAP_SHARE) ? null : demand[layer];
		}
		return seen;
	}

	double meanSkew() {
		return Arrays.stream(this.skews).average().orElse(0);
	}

	double p99Skew() {
		double[] sorted = this.skews.clone();
		Arrays.sort(sorted);
		return sorted[(int) (0.99 * (sorted.length - 1))];
	}

	double movedGigabytes() {
		return this.moves * this.cost.expertGigabytes();
	}

	int movesAfterWarmUp() {
		return this.movesAfterWarmUp;
	}

	int changes() {
		return this.changes;
	}

	double disruptionSeconds() {
		return movedGigabytes() / GIGABYTES_PER_SECOND;
	}

	double weightedCost() {
		return this.cost.skewWeight() * meanSkew() * this.skews.length * PERIOD_SECONDS
				+ this.cost.moveWeight() * movedGigabytes();
	}

}
