package org.snowwind.gateway.expert;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.snowwind.balance.plan.ExpertPlacement;
import org.snowwind.balance.plan.IncrementalPlanner;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link SharedPlans}.
 */
class SharedPlansTests {

	private final IncrementalPlanner planner = new IncrementalPlanner(new IncrementalPlanner.Caps(2, 4, 0.01));

	private final SharedPlans plans = new SharedPlans(this.planner);

	private static ExpertPlacement byTurns() {
		return new ExpertPlacement(2, 3, List.of(List.of(List.of(0), List.of(1), List.of(0), List.of(1))));
	}

	private static double[][] demand(double first) {
		return new double[][] { { first, 1, 1, 1 } };
	}

	@Test
	void groupsThatStandAlikeHaveOnePlan() {
		assertThat(this.plans.plan(byTurns(), demand(9))).isSameAs(this.plans.plan(byTurns(), demand(9)));
	}

	@Test
	void anotherDemandOrPlacementHasAPlanOfItsOwn() {
		ExpertPlacement plan = this.plans.plan(byTurns(), demand(9));
		assertThat(plan).isEqualTo(this.planner.plan(byTurns(), demand(9)));
		assertThat(this.plans.plan(byTurns(), demand(1))).isEqualTo(this.planner.plan(byTurns(), demand(1)));
		assertThat(this.plans.plan(plan, demand(9))).isEqualTo(this.planner.plan(plan, demand(9)));
	}

}
