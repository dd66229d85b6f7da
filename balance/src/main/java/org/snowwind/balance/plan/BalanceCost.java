package org.snowwind.balance.plan;

/**
 * What skew and moves cost, in one unit.
 *
 * @param skewWeight the cost of a skew of 1 for one second
 * @param moveWeight the cost of moving one gigabyte
 * @param expertGigabytes the size of one expert of one layer
 * @param horizonSeconds for how long a better placement is expected to pay
 */
public record BalanceCost(double skewWeight, double moveWeight, double expertGigabytes, double horizonSeconds) {

	/**
	 * Returns what a lower skew is worth.
	 * @param lessSkew by how much the skew falls
	 * @return the gain over the horizon
	 */
	public double gainOf(double lessSkew) {
		return this.skewWeight * lessSkew * this.horizonSeconds;
	}

	/**
	 * Returns what moves cost.
	 * @param moves how many experts are moved
	 * @return the cost
	 */
	public double costOf(int moves) {
		return this.moveWeight * moves * this.expertGigabytes;
	}

}
