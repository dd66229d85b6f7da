package org.snowwind.gateway.peer;

/**
 * How many gateways there may be, those out of reach included: the number by which what
 * all may do together is divided. Confined to one thread.
 *
 * <p>
 * A gateway that hears of fewer others may have been cut off from them, and then they go
 * on. So the number falls only while most of them are heard; and one that was just
 * started does not take itself for the only one, but says that it does not know.
 */
final class FleetSize {

	/** The size as long as nothing was heard. */
	static final int UNKNOWN = 0;

	private int size = UNKNOWN;

	/**
	 * Takes note of what is known now.
	 * @param known how many others were heard of lately, alive or not
	 * @param live how many of them are heard
	 */
	void observe(int known, int live) {
		if (live > 0) {
			use(known + 1, live + 1);
		}
	}

	/**
	 * Takes note of a list of all gateways that the platform has given.
	 * @param others how many it names, this one left out
	 */
	void listed(int others) {
		this.size = Math.max(this.size, others + 1);
	}

	private void use(int now, int liveNow) {
		boolean mostAreHeard = 2 * liveNow > this.size;
		this.size = mostAreHeard ? now : Math.max(this.size, now);
	}

	/**
	 * Returns the size.
	 * @return how many gateways there may be, this one included; {@link #UNKNOWN} before
	 * any other or the platform was heard
	 */
	int size() {
		return this.size;
	}

}
