package org.snowwind.app.measure.balance;

/**
 * How demand moves over time.
 */
interface DemandTrace {

	/**
	 * Returns the name.
	 * @return the name
	 */
	String name();

	/**
	 * Counts the periods.
	 * @return how many there are
	 */
	int periods();

	/**
	 * Returns the true demand of a period.
	 * @param period the period, from 0
	 * @return tokens by layer and expert
	 */
	double[][] demandAt(int period);

}
