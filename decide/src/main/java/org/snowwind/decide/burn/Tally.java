package org.snowwind.decide.burn;

/**
 * Good and bad requests of a stretch of time.
 *
 * @param good how many met the objective
 * @param bad how many did not
 */
public record Tally(long good, long bad) {

	/** No requests. */
	public static final Tally NONE = new Tally(0, 0);

	/**
	 * Adds another tally.
	 * @param other the other
	 * @return the sum
	 */
	public Tally plus(Tally other) {
		return new Tally(this.good + other.good, this.bad + other.bad);
	}

	/**
	 * Returns the share of bad requests.
	 * @return from 0 to 1, 0 if there were no requests
	 */
	public double badShare() {
		long all = this.good + this.bad;
		return (all == 0) ? 0 : (double) this.bad / all;
	}

	/**
	 * Returns how fast the budget is used up.
	 * @param targetShare the share of requests that should be good
	 * @return 1 when the budget lasts exactly its window
	 */
	public double burn(double targetShare) {
		return badShare() / (1 - targetShare);
	}

}
