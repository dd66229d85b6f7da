package org.snowwind.gateway.backend;

/**
 * Says how many requests a group of ranks may have.
 */
interface GroupLimit {

	/**
	 * Returns how many requests the group may have.
	 * @param passes how long its passes take
	 * @param needs what the group is and what is on time
	 * @param nowMillis the time, in milliseconds
	 * @return a number of requests
	 */
	int limit(PassTime passes, Needs needs, long nowMillis);

	/**
	 * Fills every slot.
	 * @return the limit
	 */
	static GroupLimit allSlots() {
		return (passes, needs, nowMillis) -> needs.slots();
	}

	/**
	 * Fills a fixed part of the slots.
	 * @param share the part, above 0 and at most 1
	 * @return the limit
	 */
	static GroupLimit slotShare(double share) {
		return (passes, needs, nowMillis) -> (int) Math.ceil(share * needs.slots());
	}

	/**
	 * Fills the group until its passes take as long as they may on the mean.
	 * @return the limit
	 */
	static GroupLimit meanPass() {
		return new MeanPassLimit();
	}

	/**
	 * What a group is and what is on time.
	 *
	 * @param slots how many requests all its ranks run at once
	 * @param emptyPassMillis the time of a pass without requests, in milliseconds
	 * @param pauseTargetMillis the longest pause on time, in milliseconds; 0 if there is
	 * none
	 */
	record Needs(int slots, double emptyPassMillis, long pauseTargetMillis) {

	}

}
