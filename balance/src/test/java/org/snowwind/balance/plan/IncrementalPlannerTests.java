package org.snowwind.balance.plan;

import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link IncrementalPlanner}.
 */
class IncrementalPlannerTests {

	private static final int RANKS = 8;

	private static final int EXPERTS = 32;

	private static final int SLOTS = 6;

	private static final int LAYERS = 3;

	private static final ExpertPlacement START = ExpertPlacement.roundRobin(LAYERS, EXPERTS, RANKS, SLOTS);

	private static double[][] demand(Random random) {
		double[][] demand = new double[LAYERS][EXPERTS];
		for (double[] layer : demand) {
			for (int expert = 0; expert < EXPERTS; expert++) {
				layer[expert] = Math.exp(2 * random.nextGaussian());
			}
		}
		return demand;
	}

	private static int copies(ExpertPlacement plan, int layer, int rank) {
		int copies = 0;
		for (int expert = 0; expert < EXPERTS; expert++) {
			boolean now = plan.ranksOf().get(layer).get(expert).contains(rank);
			boolean before = START.ranksOf().get(layer).get(expert).contains(rank);
			copies += (now && !before) ? 1 : 0;
		}
		return copies;
	}

	@Property(tries = 100)
	void noRankExceedsItsCopyLimitsOrItsSlots(@ForAll Random random, @ForAll @IntRange(min = 1, max = 4) int perLayer,
			@ForAll @IntRange(min = 1, max = 6) int perRank) {
		IncrementalPlanner planner = new IncrementalPlanner(new IncrementalPlanner.Caps(perLayer, perRank, 0));
		ExpertPlacement plan = planner.plan(START, demand(random));
		for (int rank = 0; rank < RANKS; rank++) {
			int ofRank = 0;
			for (int layer = 0; layer < LAYERS; layer++) {
				assertThat(copies(plan, layer, rank)).isLessThanOrEqualTo(perLayer);
				ofRank += copies(plan, layer, rank);
				int held = rank;
				assertThat(plan.ranksOf().get(layer).stream().filter((ranks) -> ranks.contains(held)).count())
					.isLessThanOrEqualTo(SLOTS);
				assertThat(plan.ranksOf().get(layer)).noneMatch(List::isEmpty);
			}
			assertThat(ofRank).isLessThanOrEqualTo(perRank);
		}
	}

	@Property(tries = 100)
	void planNeverIncreasesTheSkew(@ForAll Random random) {
		double[][] demand = demand(random);
		ExpertPlacement plan = new IncrementalPlanner(new IncrementalPlanner.Caps(4, 4, 0)).plan(START, demand);
		assertThat(plan.skew(demand)).isLessThanOrEqualTo(START.skew(demand) + 1e-9);
	}

	@Test
	void fewCopiesReduceTheSkewOfASkewedDemand() {
		double[][] demand = new double[LAYERS][EXPERTS];
		for (double[] layer : demand) {
			java.util.Arrays.fill(layer, 1);
			layer[5] = 30;
		}
		ExpertPlacement plan = new IncrementalPlanner(new IncrementalPlanner.Caps(4, 4, 0.01)).plan(START, demand);
		assertThat(plan.skew(demand)).isLessThan(0.5 * START.skew(demand));
	}

	@Test
	void copiesWithTooLittleReliefAreNotMade() {
		double[][] even = new double[LAYERS][EXPERTS];
		for (double[] layer : even) {
			java.util.Arrays.fill(layer, 1);
		}
		IncrementalPlanner planner = new IncrementalPlanner(new IncrementalPlanner.Caps(4, 4, 0.5));
		assertThat(planner.plan(START, even).movesFrom(START)).isZero();
	}

}
