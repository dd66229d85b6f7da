package org.snowwind.balance.plan;

/**
 * Plans the next placement of a group's experts.
 */
@FunctionalInterface
public interface MapPlanner {

	/**
	 * Plans the next placement.
	 * @param current the placement in force
	 * @param demand the expected tokens by layer and expert
	 * @param relativeError the error of the demand for an expert, relative to that demand
	 * @param maxMoves how many experts the weight store can deliver before the next plan
	 * @return the next placement, the same object if no expert should be moved
	 */
	ExpertPlacement plan(ExpertPlacement current, double[][] demand, double relativeError, int maxMoves);

}
