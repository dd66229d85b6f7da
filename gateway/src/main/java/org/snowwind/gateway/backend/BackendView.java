package org.snowwind.gateway.backend;

/**
 * The properties of a server that the choice of a server depends on.
 *
 * @param id the server's id
 * @param load the number of requests at the server
 * @param slots how many requests the server runs concurrently
 * @param answerMillis the mean time of its answers, in milliseconds; 0 if none is known
 * @param failureRate the fraction of recent requests that failed
 * @param startFactor the fraction of its normal load that the server gets while it
 * recovers from an ejection, 1 otherwise
 */
public record BackendView(String id, int load, int slots, double answerMillis, double failureRate, double startFactor) {

	/**
	 * The penalty for failures: the utilization is multiplied by 1 plus this weight times
	 * the failure rate.
	 */
	private static final double FAILURE_WEIGHT = 4;

	/**
	 * Returns the utilization with one more request, for comparison; lower is better.
	 * @return the utilization, increased by failures
	 */
	public double utilization() {
		double utilization = (this.load + 1.0) / Math.max(1, this.slots);
		return utilization * (1 + FAILURE_WEIGHT * this.failureRate) / this.startFactor;
	}

	/**
	 * Returns the free fraction of the server's capacity, reduced by failures.
	 * @param maxQueued how many requests may queue at the server beyond those that run
	 * @return 1 for an empty server, 0 or less for a full one
	 */
	public double freeShare(int maxQueued) {
		double free = (double) room(maxQueued) / Math.max(1, this.slots + maxQueued);
		return free / (1 + FAILURE_WEIGHT * this.failureRate) * this.startFactor;
	}

	/**
	 * Returns how many more requests may be sent to the server.
	 * @param maxQueued how many requests may queue at the server beyond those that run
	 * @return a number of requests, negative if the server has too many
	 */
	public int room(int maxQueued) {
		return this.slots + maxQueued - this.load;
	}

}
