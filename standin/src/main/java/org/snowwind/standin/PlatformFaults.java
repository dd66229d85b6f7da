package org.snowwind.standin;

/**
 * What is wrong with the stand-in platform.
 *
 * @param outage whether every call is refused
 * @param slowMillis how much later every answer comes, in milliseconds
 * @param lostAnswers how many of the next writes take effect and lose their answer
 * @param callsPerSecond the rate limit, 0 for none
 * @param historySize how many changes a watch can look back; fewer make gaps
 */
public record PlatformFaults(boolean outage, long slowMillis, int lostAnswers, int callsPerSecond, int historySize) {

	/** Nothing is wrong. */
	public static final PlatformFaults NONE = new PlatformFaults(false, 0, 0, 0, 10_000);

	/**
	 * Returns the faults with or without an outage.
	 * @param on whether every call is refused
	 * @return new faults
	 */
	public PlatformFaults withOutage(boolean on) {
		return new PlatformFaults(on, this.slowMillis, this.lostAnswers, this.callsPerSecond, this.historySize);
	}

	/**
	 * Returns the faults with lost answers.
	 * @param count how many of the next writes lose their answer
	 * @return new faults
	 */
	public PlatformFaults withLostAnswers(int count) {
		return new PlatformFaults(this.outage, this.slowMillis, count, this.callsPerSecond, this.historySize);
	}

}
