package org.snowwind.decide.burn;

/**
 * Counts of good and bad requests in a period of time.
 *
 * @param good how many requests met the objective
 * @param bad how many requests did not
 */
public record RequestCounts(long good, long bad) {

	/** No requests. */
	public static final RequestCounts NONE = new RequestCounts(0, 0);

	/**
	 * Returns the sum of this tally and another one.
	 * @param other the other tally
	 * @return the sum
	 */
	public RequestCounts plus(RequestCounts other) {
		return new RequestCounts(this.good + other.good, this.bad + other.bad);
	}

	/**
	 * Returns the share of bad requests.
	 * @return from 0 to 1, 0 if there were no requests
	 */
	public double badShare() {
		long total = this.good + this.bad;
		return (total == 0) ? 0 : (double) this.bad / total;
	}

	/**
	 * Returns the burn rate: how fast the error budget is used up.
	 * @param targetShare the share of requests that should be good
	 * @return 1 if the budget lasts exactly for its window
	 */
	public double burnRate(double targetShare) {
		return badShare() / (1 - targetShare);
	}

}
