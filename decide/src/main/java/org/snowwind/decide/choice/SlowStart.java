package org.snowwind.decide.choice;

/**
 * The share of its normal load that a server gets while it returns to service.
 *
 * <p>
 * Handles servers that many processes learn of at the same moment. They are empty, so all
 * processes would choose them until reports show the load. The share rises from a tenth,
 * so that the first requests of all processes together fit, to the full one.
 */
public final class SlowStart {

	/** A server that is not returning. */
	public static final SlowStart NONE = new SlowStart(0, 0);

	private static final double FIRST_SHARE = 0.1;

	private final long startMillis;

	private final long lengthMillis;

	/**
	 * Creates the return of a server.
	 * @param startMillis when it begins, in milliseconds
	 * @param lengthMillis how long it takes, in milliseconds; 0 for a server that gets
	 * its normal load at once
	 */
	public SlowStart(long startMillis, long lengthMillis) {
		this.startMillis = startMillis;
		this.lengthMillis = lengthMillis;
	}

	/**
	 * Returns the current share of the normal load.
	 * @param nowMillis the time, in milliseconds
	 * @return a fraction from 0.1 to 1
	 */
	public double factor(long nowMillis) {
		long elapsedMillis = nowMillis - this.startMillis;
		if (this.lengthMillis == 0 || elapsedMillis >= this.lengthMillis) {
			return 1;
		}
		return FIRST_SHARE + (1 - FIRST_SHARE) * Math.max(0, elapsedMillis) / this.lengthMillis;
	}

}
