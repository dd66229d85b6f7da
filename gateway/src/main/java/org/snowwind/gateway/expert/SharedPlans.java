package org.snowwind.gateway.expert;

import java.util.Arrays;

import org.snowwind.balance.plan.ExpertPlacement;
import org.snowwind.balance.plan.IncrementalPlanner;

/**
 * Plans maps for all groups of a service, and reuses a plan for groups with the same map
 * and demand. Groups whose requests are distributed at random have the same demand.
 * Thread-safe; one plan is made at a time.
 */
final class SharedPlans {

	private final IncrementalPlanner planner;

	private ExpertPlacement lastCurrent;

	private double[][] lastDemand;

	private ExpertPlacement lastPlan;

	/**
	 * Creates the plans of a service.
	 * @param planner the planner
	 */
	SharedPlans(IncrementalPlanner planner) {
		this.planner = planner;
	}

	/**
	 * Plans the next placement.
	 * @param current the placement in force
	 * @param demand the demand by set and expert
	 * @return the next placement, which may be the current one
	 */
	synchronized ExpertPlacement plan(ExpertPlacement current, double[][] demand) {
		if (!current.equals(this.lastCurrent) || !Arrays.deepEquals(demand, this.lastDemand)) {
			this.lastPlan = this.planner.plan(current, demand);
			this.lastCurrent = current;
			this.lastDemand = demand;
		}
		return this.lastPlan;
	}

}
