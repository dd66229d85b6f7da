package org.snowwind.balance.plan;

/**
 * Baseline that never moves an expert.
 */
public final class StaticPlanner implements MapPlanner {

	@Override
	public ExpertPlacement plan(ExpertPlacement current, double[][] demand, double relativeError, int maxMoves) {
		return current;
	}

}
