package org.snowwind.balance.plan;

/**
 * Baseline that plans from scratch whenever the skew exceeds a threshold.
 */
public final class ThresholdReplan implements MapPlanner {

	private final double threshold;

	private final MapPlanner replan = new FullReplan();

	/**
	 * Creates the planner.
	 * @param threshold the skew above which it plans from scratch
	 */
	public ThresholdReplan(double threshold) {
		this.threshold = threshold;
	}

	@Override
	public ExpertPlacement plan(ExpertPlacement current, double[][] demand, double relativeError, int maxMoves) {
		return (current.skew(demand) > this.threshold) ? this.replan.plan(current, demand, relativeError, maxMoves)
				: current;
	}

}
