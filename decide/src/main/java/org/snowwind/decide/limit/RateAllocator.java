package org.snowwind.decide.limit;

import java.util.HashMap;
import java.util.Map;

/**
 * Grants processes their shares of one server's rate. It runs in the coordinator of that
 * rate, the one process that keeps the sum of the shares within it.
 *
 * <p>
 * Processes that act independently cannot bound a sum: seven processes that each send a
 * first request send seven. Therefore each share is a short lease, and the leases that
 * are valid at the same time do not add up to more than the rate. A new coordinator
 * grants nothing new until the leases of its predecessor have expired; processes keep the
 * shares that they report as held.
 */
public final class RateAllocator {

	/**
	 * The lowest rate at which a server is sent requests, in requests per second, however
	 * low its limit is: only a response can show that the limit has ended.
	 */
	public static final double MIN_PER_SECOND = 0.2;

	/** Shares below this fraction of the rate are too small to be worth granting. */
	private static final double MIN_SHARE = 0.01;

	/** The most unused requests that one holder may save. */
	private static final double MAX_BURST = 2;

	/** How often the rate is divided again during one lease. */
	private static final int DIVISIONS_PER_LEASE = 16;

	private static final double MILLIS_PER_SECOND = 1000;

	private final Map<String, Holder> holders = new HashMap<>();

	private long noNewGrantsUntilMillis = Long.MIN_VALUE;

	private long lastRequestMillis = Long.MIN_VALUE;

	private Map<String, Double> division = Map.of();

	private long divisionMillis;

	private double divisionRate = -1;

	private double savedSingles;

	private long savedSinglesMillis;

	/**
	 * Returns the rate that may be used under a limit.
	 * @param limitPerSecond the limit, in requests per second
	 * @return the rate, above 0
	 */
	public static double usableRate(double limitPerSecond) {
		return Math.max(MIN_PER_SECOND, limitPerSecond);
	}

	/**
	 * Grants a process a share, which replaces the one that it holds.
	 * @param process the name of the process
	 * @param demand the demand of the process
	 * @param coordinator whether this process considers itself the coordinator
	 * @param leaseMillis how long the share is valid, in milliseconds
	 * @param nowMillis the time, in milliseconds
	 * @return the grant
	 */
	public RateGrant grant(String process, RateDemand demand, boolean coordinator, long leaseMillis, long nowMillis) {
		waitForEarlierLeases(coordinator, leaseMillis, nowMillis);
		Holder holder = this.holders.computeIfAbsent(process, (name) -> new Holder());
		holder.requested(demand, leaseMillis, nowMillis);
		double rate = rate(leaseMillis, nowMillis);
		double free = Math.max(0, rate - outstandingExcept(process, nowMillis));
		double target = Math.min(free, targetShare(process, rate, leaseMillis, nowMillis));
		boolean noNewGrants = nowMillis < this.noNewGrantsUntilMillis;
		double share = noNewGrants ? Math.min(free, demand.heldPerSecond()) : target;
		holder.setLease((share < MIN_SHARE * rate) ? 0 : share, nowMillis + leaseMillis);
		int singles = noNewGrants ? 0 : singles(demand, rate, nowMillis);
		return new RateGrant(rate, holder.perSecond, burst(holder.perSecond, rate), singles, leaseMillis);
	}

	private void waitForEarlierLeases(boolean coordinator, long leaseMillis, long nowMillis) {
		boolean newCoordinator = this.lastRequestMillis == Long.MIN_VALUE
				|| nowMillis - this.lastRequestMillis > leaseMillis;
		this.lastRequestMillis = nowMillis;
		if (newCoordinator || !coordinator) {
			this.noNewGrantsUntilMillis = nowMillis + 2 * leaseMillis;
		}
	}

	// Where processes know different limits, the lowest one applies.
	private double rate(long leaseMillis, long nowMillis) {
		double lowest = Double.MAX_VALUE;
		for (Holder holder : this.holders.values()) {
			if (holder.isRequesting(leaseMillis, nowMillis)) {
				lowest = Math.min(lowest, holder.demand.limitPerSecond());
			}
		}
		return usableRate(lowest);
	}

	// Dividing the rate again on each call would sort all processes each time.
	private double targetShare(String process, double rate, long leaseMillis, long nowMillis) {
		if (nowMillis - this.divisionMillis >= leaseMillis / DIVISIONS_PER_LEASE || rate != this.divisionRate) {
			this.divisionMillis = nowMillis;
			this.divisionRate = rate;
			this.division = RateShares.of(rate, activeDemands(leaseMillis, nowMillis), this.division);
		}
		return this.division.getOrDefault(process, 0.0);
	}

	private Map<String, RateDemand> activeDemands(long leaseMillis, long nowMillis) {
		Map<String, RateDemand> activeDemands = new HashMap<>();
		this.holders.forEach((process, holder) -> {
			if (holder.isRequesting(leaseMillis, nowMillis)) {
				activeDemands.put(process, holder.demand);
			}
		});
		return activeDemands;
	}

	private double outstandingExcept(String process, long nowMillis) {
		double sum = 0;
		for (Map.Entry<String, Holder> holder : this.holders.entrySet()) {
			sum += holder.getKey().equals(process) ? 0 : holder.getValue().outstanding(nowMillis);
		}
		return sum;
	}

	// The unallocated rate serves processes that have too few requests to hold a share.
	private int singles(RateDemand demand, double rate, long nowMillis) {
		double unallocated = Math.max(0, rate - outstandingExcept("", nowMillis));
		double maxSaved = Math.max(1, Math.min(MAX_BURST, rate));
		this.savedSingles = Math.min(maxSaved,
				this.savedSingles + unallocated * (nowMillis - this.savedSinglesMillis) / MILLIS_PER_SECOND);
		this.savedSinglesMillis = nowMillis;
		int singles = (int) Math.min(demand.waiting(), this.savedSingles);
		this.savedSingles -= singles;
		return singles;
	}

	private static double burst(double share, double rate) {
		return Math.min(MAX_BURST, Math.max(1, share + share / rate));
	}

	/**
	 * Removes processes whose leases have expired without renewal.
	 * @param nowMillis the time, in milliseconds
	 * @return whether no process is left
	 */
	public boolean removeExpired(long nowMillis) {
		this.holders.values()
			.removeIf((holder) -> nowMillis >= holder.expiryMillis && nowMillis >= holder.previousExpiryMillis);
		return this.holders.isEmpty();
	}

	/**
	 * The demand of one process and the share that it holds.
	 */
	private static final class Holder {

		private RateDemand demand;

		private long requestedMillis;

		private double perSecond;

		private long expiryMillis = Long.MIN_VALUE;

		/**
		 * The share that it held at its last request. It stays reserved until its lease
		 * expires, since the reply with the new share may be lost.
		 */
		private double previousPerSecond;

		private long previousExpiryMillis = Long.MIN_VALUE;

		private void requested(RateDemand next, long leaseMillis, long nowMillis) {
			boolean grantedHere = this.expiryMillis != Long.MIN_VALUE;
			this.demand = next;
			this.requestedMillis = nowMillis;
			this.previousPerSecond = next.heldPerSecond();
			this.previousExpiryMillis = grantedHere ? this.expiryMillis : nowMillis + leaseMillis;
		}

		private void setLease(double share, long newExpiryMillis) {
			this.perSecond = share;
			this.expiryMillis = newExpiryMillis;
		}

		private double outstanding(long nowMillis) {
			double granted = (nowMillis < this.expiryMillis) ? this.perSecond : 0;
			double previous = (nowMillis < this.previousExpiryMillis) ? this.previousPerSecond : 0;
			return Math.max(granted, previous);
		}

		private boolean isRequesting(long leaseMillis, long nowMillis) {
			return this.demand != null && nowMillis - this.requestedMillis < leaseMillis;
		}

	}

}
