package org.snowwind.balance.plan;

/**
 * Plans the next placement of a group's experts.
 */
@FunctionalInterface
public interface MapPlanner {

	/**
	 * Plans.
	 * @param current the placement in force
	 * @param demand the expected tokens by layer and expert
	 * @param relativeError how far an expert's demand may be off, relative to it
	 * @param maxMoves how many experts the weight store can deliver until the next plan
	 * @return the next placement, the same object if nothing should be moved
	 */
	ExpertPlacement plan(ExpertPlacement current, double[][] demand, double relativeError, int maxMoves);

}
