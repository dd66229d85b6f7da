package org.snowwind.balance.plan;

/**
 * The baseline that never moves anything.
 */
public final class NeverMove implements MapPlanner {

	@Override
	public ExpertPlacement plan(ExpertPlacement current, double[][] demand, double relativeError, int maxMoves) {
		return current;
	}

}
