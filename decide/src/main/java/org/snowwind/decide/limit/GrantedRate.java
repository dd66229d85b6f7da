package org.snowwind.decide.limit;

/**
 * Tracks the share of a server's rate that this process was granted, and how much of it
 * is unused.
 *
 * <p>
 * A process that held no share before starts without saved requests, so that shares which
 * move from one process to another are not used twice.
 */
public final class GrantedRate {

	private static final double MILLIS_PER_SECOND = 1000;

	/**
	 * Single requests are granted for those that wait now, and expire after this time.
	 */
	private static final long SINGLES_MILLIS = 1000;

	private RateGrant grant = RateGrant.NOTHING;

	private long expiryMillis = Long.MIN_VALUE;

	private double savedRequests;

	private long savedAtMillis;

	private int singles;

	private final ArrivalRate singlesRate = new ArrivalRate();

	private long singlesExpiryMillis = Long.MIN_VALUE;

	/**
	 * Replaces the current grant.
	 * @param next the new grant
	 * @param requestedMillis when the grant was requested, in milliseconds
	 * @param limitPerSecond the server's limit as it is known now
	 * @param nowMillis the time, in milliseconds
	 */
	public void apply(RateGrant next, long requestedMillis, double limitPerSecond, long nowMillis) {
		accrue(limitPerSecond, nowMillis);
		this.grant = next;
		this.expiryMillis = requestedMillis + next.validMillis();
		this.savedRequests = (next.perSecond() > 0) ? Math.min(this.savedRequests, next.burst()) : 0;
		if (next.singles() > 0) {
			this.singles = next.singles() + (hasSingles(nowMillis) ? this.singles : 0);
			this.singlesExpiryMillis = requestedMillis + SINGLES_MILLIS;
		}
		for (int i = 0; i < next.singles(); i++) {
			this.singlesRate.recordRequest(nowMillis);
		}
	}

	/**
	 * Returns whether a request may be sent.
	 * @param limitPerSecond the server's limit as it is known now
	 * @param nowMillis the time, in milliseconds
	 * @return true if the grant allows another request
	 */
	public boolean allows(double limitPerSecond, long nowMillis) {
		accrue(limitPerSecond, nowMillis);
		return this.savedRequests >= 1 || hasSingles(nowMillis);
	}

	private boolean hasSingles(long nowMillis) {
		return this.singles > 0 && nowMillis < this.singlesExpiryMillis;
	}

	/**
	 * Records a request that is sent.
	 * @param limitPerSecond the server's limit as it is known now
	 * @param nowMillis the time, in milliseconds
	 */
	public void recordSent(double limitPerSecond, long nowMillis) {
		accrue(limitPerSecond, nowMillis);
		if (this.savedRequests < 1 && hasSingles(nowMillis)) {
			this.singles--;
			return;
		}
		this.savedRequests = Math.max(0, this.savedRequests - 1);
	}

	// A limit that was lowered after the grant scales the granted rate down at once.
	private void accrue(double limitPerSecond, long nowMillis) {
		long elapsedMillis = nowMillis - this.savedAtMillis;
		this.savedAtMillis = nowMillis;
		if (nowMillis >= this.expiryMillis) {
			this.savedRequests = 0;
			return;
		}
		double scale = Math.min(1, RateAllocator.usableRate(limitPerSecond) / this.grant.limitPerSecond());
		this.savedRequests = Math.min(this.grant.burst(),
				this.savedRequests + scale * this.grant.perSecond() * elapsedMillis / MILLIS_PER_SECOND);
	}

	/**
	 * Returns the rate that is granted.
	 * @param nowMillis the time, in milliseconds
	 * @return requests per second; 0 if no grant is valid
	 */
	public double perSecond(long nowMillis) {
		return (nowMillis < this.expiryMillis) ? this.grant.perSecond() : 0;
	}

	/**
	 * Returns the rate at which this process can expect to send requests: the granted
	 * share and the recent rate of single requests.
	 * @param nowMillis the time, in milliseconds
	 * @return requests per second
	 */
	public double expectedPerSecond(long nowMillis) {
		return perSecond(nowMillis) + this.singlesRate.perSecond(nowMillis);
	}

}
