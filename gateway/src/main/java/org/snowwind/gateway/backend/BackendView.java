package org.snowwind.gateway.backend;

/**
 * What is known of a server when one is chosen.
 *
 * @param id the server's id
 * @param load requests that it has
 * @param slots how many requests it runs at once
 * @param answerMillis the mean time of its answers, in milliseconds; 0 if none is known
 * @param failureRate the part of its recent answers that failed
 * @param startFactor the part of its share that it gets while it returns, 1 otherwise
 */
public record BackendView(String id, int load, int slots, double answerMillis, double failureRate, double startFactor) {

	/** How much dearer a server is that always fails: as if it were this much fuller. */
	private static final double FAILURE_WEIGHT = 4;

	/**
	 * Returns what one more request would meet, for comparison; lower is better.
	 * @return the fullness after it, raised by failures
	 */
	public double fullness() {
		double full = (this.load + 1.0) / Math.max(1, this.slots);
		return full * (1 + FAILURE_WEIGHT * this.failureRate) / this.startFactor;
	}

	/**
	 * Returns which part of the server is free, lowered by failures.
	 * @param mayWait how many requests may wait there beyond those that run
	 * @return 1 for an empty server, 0 or less for a full one
	 */
	public double roomShare(int mayWait) {
		double free = (double) room(mayWait) / Math.max(1, this.slots + mayWait);
		return free / (1 + FAILURE_WEIGHT * this.failureRate) * this.startFactor;
	}

	/**
	 * Returns how many requests may still be sent there.
	 * @param mayWait how many may wait there beyond those that run
	 * @return a number of requests, negative if it has too many
	 */
	public int room(int mayWait) {
		return this.slots + mayWait - this.load;
	}

}
