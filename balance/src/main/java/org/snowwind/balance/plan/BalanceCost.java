package org.snowwind.balance.plan;

/**
 * Costs of skew and of moves, in a common unit.
 *
 * @param skewWeight the cost of a skew of 1 for one second
 * @param moveWeight the cost of moving one gigabyte
 * @param expertGigabytes the size of one expert of one layer
 * @param horizonSeconds how long a better placement is expected to bring its gain
 */
public record BalanceCost(double skewWeight, double moveWeight, double expertGigabytes, double horizonSeconds) {

	/**
	 * Returns the gain from a lower skew.
	 * @param skewReduction the reduction of the skew
	 * @return the gain over the horizon
	 */
	public double gainOfSkewReduction(double skewReduction) {
		return this.skewWeight * skewReduction * this.horizonSeconds;
	}

	/**
	 * Returns the cost of moves.
	 * @param moves how many experts are moved
	 * @return the cost
	 */
	public double costOfMoves(int moves) {
		return this.moveWeight * moves * this.expertGigabytes;
	}

}
