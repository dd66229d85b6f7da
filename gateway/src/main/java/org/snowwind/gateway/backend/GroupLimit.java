package org.snowwind.gateway.backend;

/**
 * Limits the number of requests of a group of ranks.
 */
interface GroupLimit {

	/**
	 * Returns the maximum number of requests of the group.
	 * @param passes the measured time of passes
	 * @param parameters the size of the group and its latency target
	 * @param nowMillis the time, in milliseconds
	 * @return a number of requests
	 */
	int limit(PassTime passes, Parameters parameters, long nowMillis);

	/**
	 * Returns a limit that allows a request in every slot.
	 * @return the limit
	 */
	static GroupLimit allSlots() {
		return (passes, parameters, nowMillis) -> parameters.slots();
	}

	/**
	 * Returns a limit that allows requests in a fixed share of the slots.
	 * @param share the share, above 0 and at most 1
	 * @return the limit
	 */
	static GroupLimit slotShare(double share) {
		return (passes, parameters, nowMillis) -> (int) Math.ceil(share * parameters.slots());
	}

	/**
	 * Returns a limit that allows requests until the mean time of a pass reaches its
	 * maximum.
	 * @return the limit
	 */
	static GroupLimit meanPass() {
		return new MeanPassLimit();
	}

	/**
	 * The size of a group and its latency target.
	 *
	 * @param slots how many requests all ranks of the group run concurrently
	 * @param emptyPassMillis the time of a pass without requests, in milliseconds
	 * @param pauseTargetMillis the maximum pause that is on time, in milliseconds; 0 if
	 * there is no target
	 */
	record Parameters(int slots, double emptyPassMillis, long pauseTargetMillis) {

	}

}
