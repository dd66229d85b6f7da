package org.snowwind.gateway.peer;

/**
 * Estimates how many gateways exist, including unreachable ones. Limits that apply to all
 * gateways together are divided by this number. Confined to one thread.
 *
 * <p>
 * A gateway that sees fewer peers may be partitioned from them while they continue to
 * work. The estimate therefore decreases only while a majority of the gateways is
 * reachable. A gateway that has just started reports an unknown size instead of assuming
 * that it is the only one.
 */
final class FleetSize {

	/** The size until a peer or the platform has been heard from. */
	static final int UNKNOWN = 0;

	private int size = UNKNOWN;

	/**
	 * Updates the size from the peers that are currently known.
	 * @param known the number of other gateways that were recently known, live or not
	 * @param live the number of them that are live
	 */
	void observe(int known, int live) {
		if (live > 0) {
			update(known + 1, live + 1);
		}
	}

	/**
	 * Updates the size from the list of all gateways in the platform.
	 * @param others the number of gateways in the list, without this one
	 */
	void listed(int others) {
		this.size = Math.max(this.size, others + 1);
	}

	private void update(int newSize, int newLive) {
		boolean majorityIsLive = 2 * newLive > this.size;
		this.size = majorityIsLive ? newSize : Math.max(this.size, newSize);
	}

	/**
	 * Returns the size.
	 * @return the estimated number of gateways including this one; {@link #UNKNOWN} until
	 * a peer or the platform has been heard from
	 */
	int size() {
		return this.size;
	}

}
