package org.snowwind.decide.limit;

/**
 * A share of a server's rate that is leased to one process.
 *
 * @param limitPerSecond the rate that is shared, in requests per second, above 0
 * @param perSecond the share, in requests per second
 * @param burst the most unused requests that the process may save
 * @param singles how many single requests the process may send in addition to its share
 * @param validMillis how long the share is valid, in milliseconds from when it was
 * requested
 */
public record RateGrant(double limitPerSecond, double perSecond, double burst, int singles, long validMillis) {

	/** Neither a share nor single requests. */
	public static final RateGrant NOTHING = new RateGrant(1, 0, 0, 0, 0);

}
