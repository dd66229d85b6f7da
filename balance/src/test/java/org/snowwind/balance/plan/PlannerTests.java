package org.snowwind.balance.plan;

import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class PlannerTests {

	private static final int RANKS = 8;

	private static final int EXPERTS = 16;

	private static final int SLOTS = 3;

	private static final int LAYERS = 3;

	private static final ExpertPlacement START = ExpertPlacement.roundRobin(LAYERS, EXPERTS, RANKS, SLOTS);

	private static BalanceCost cost(double moveWeight) {
		return new BalanceCost(1, moveWeight, 0.05, 600);
	}

	private static double[][] demand(long seed) {
		Random random = new Random(seed);
		double[][] demand = new double[LAYERS][EXPERTS];
		for (double[] layer : demand) {
			for (int expert = 0; expert < EXPERTS; expert++) {
				layer[expert] = Math.exp(2 * random.nextGaussian());
			}
		}
		return demand;
	}

	private static double total(BalanceCost cost, ExpertPlacement placement, double[][] demand) {
		return cost.gainOfSkewReduction(placement.skew(demand)) + cost.costOfMoves(placement.movesFrom(START));
	}

	@Property(seed = "20261202")
	void planNeverCostsMoreThanMakingNoChange(@ForAll long seed,
			@ForAll @IntRange(min = 1, max = 5000) int moveWeight) {
		BalanceCost cost = cost(moveWeight);
		ExpertPlacement plan = new CostAwarePlanner(cost).plan(START, demand(seed), 0, 1000);
		assertThat(total(cost, plan, demand(seed))).isLessThanOrEqualTo(total(cost, START, demand(seed)) + 1e-6);
	}

	@Property(seed = "20261202")
	void everyExpertHasAReplicaAndNoRankExceedsItsSlots(@ForAll long seed) {
		for (MapPlanner planner : List.of(new CostAwarePlanner(cost(1)), new FullReplan())) {
			ExpertPlacement plan = planner.plan(START, demand(seed), 0, 1000);
			for (List<List<Integer>> layer : plan.ranksOf()) {
				int[] used = new int[RANKS];
				assertThat(layer).allMatch((ranks) -> !ranks.isEmpty());
				layer.forEach((ranks) -> ranks.forEach((rank) -> used[rank]++));
				assertThat(java.util.Arrays.stream(used).max().orElse(0)).isLessThanOrEqualTo(SLOTS);
			}
		}
	}

	@Property(seed = "20261202")
	void movesDoNotExceedTheLimitOfTheWeightStore(@ForAll long seed, @ForAll @IntRange(max = 10) int maxMoves) {
		ExpertPlacement plan = new CostAwarePlanner(cost(0.001)).plan(START, demand(seed), 0, maxMoves);
		assertThat(plan.movesFrom(START)).isLessThanOrEqualTo(maxMoves);
	}

	@Test
	void nothingIsMovedWhenMovesAreExpensive() {
		assertThat(new CostAwarePlanner(cost(1e9)).plan(START, demand(1), 0, 1000)).isSameAs(START);
	}

	@Test
	void skewIsCloseToAFullReplanWhenMovesAreCheap() {
		double[][] demand = demand(1);
		double costAware = new CostAwarePlanner(cost(1e-6)).plan(START, demand, 0, 1000).skew(demand);
		double full = new FullReplan().plan(START, demand, 0, 1000).skew(demand);
		assertThat(costAware).isLessThan(START.skew(demand) / 2).isLessThan(full * 1.5 + 0.1);
	}

	@Test
	void demandChangesWithinTheNoiseMoveNothing() {
		ExpertPlacement settled = new CostAwarePlanner(cost(1e-6)).plan(START, demand(1), 0, 1000);
		double[][] noisy = demand(1);
		for (double[] layer : noisy) {
			layer[0] *= 1.05;
			layer[1] *= 0.95;
		}
		assertThat(new CostAwarePlanner(cost(1e-6)).plan(settled, noisy, 0.1, 1000)).isSameAs(settled);
	}

	@Test
	void nothingIsMovedWithoutDemand() {
		assertThat(new CostAwarePlanner(cost(1)).plan(START, new double[LAYERS][EXPERTS], 0, 1000)).isSameAs(START);
	}

}
