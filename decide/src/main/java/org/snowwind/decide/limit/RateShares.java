package org.snowwind.decide.limit;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Divides a rate among the processes that can use it.
 *
 * <p>
 * A process that holds a share may save one unused request, however small the share is.
 * To keep the sum of these within what the server tolerates, a rate has few holders: the
 * processes with the highest demand, and no more than are needed to use up the rate. A
 * share stays unchanged while its holder uses it: a change loses the requests that are
 * saved and the shares that are in transit.
 */
final class RateShares {

	/**
	 * If the total demand exceeds the rate, a holder gets its demand divided by this
	 * factor, so that a lull in its requests leaves nothing unused.
	 */
	private static final double SCARCE_RATE_DIVISOR = 2;

	/** If it does not, a holder gets its demand times this factor. */
	private static final double AMPLE_RATE_FACTOR = 1.5;

	/** A holder keeps its share while its demand is at least this fraction of it. */
	private static final double MIN_USE_TO_KEEP = 0.8;

	/** The fraction of the rate that may stay unallocated. */
	private static final double MAX_UNALLOCATED = 0.05;

	/**
	 * A process with fewer requests per second would leave a share unused for most of its
	 * lease; it gets single requests instead.
	 */
	private static final double MIN_WANTED_PER_SECOND = 1;

	private final double perSecond;

	private final Map<String, RateDemand> demands;

	private final double demandFactor;

	private final Map<String, Double> shares = new TreeMap<>();

	private double unallocated;

	private RateShares(double perSecond, Map<String, RateDemand> demands) {
		this.perSecond = perSecond;
		this.demands = demands;
		double wanted = demands.values().stream().mapToDouble(RateDemand::wantedPerSecond).sum();
		this.demandFactor = (wanted > perSecond) ? 1 / SCARCE_RATE_DIVISOR : AMPLE_RATE_FACTOR;
		this.unallocated = perSecond;
	}

	/**
	 * Divides a rate.
	 * @param perSecond the rate, above 0
	 * @param demands the demand of each process, by its name
	 * @param previous the current shares, by process, in requests per second
	 * @return the new shares; a process without a share has no entry
	 */
	static Map<String, Double> of(double perSecond, Map<String, RateDemand> demands, Map<String, Double> previous) {
		RateShares division = new RateShares(perSecond, demands);
		division.keepHolders(previous);
		if (division.unallocated > MAX_UNALLOCATED * perSecond) {
			division.addHolders();
		}
		if (division.unallocated > MAX_UNALLOCATED * perSecond) {
			division.raiseShares();
		}
		return division.shares;
	}

	private void keepHolders(Map<String, Double> previous) {
		double sum = previous.values().stream().mapToDouble(Double::doubleValue).sum();
		double reduction = Math.min(1, this.perSecond / Math.max(sum, this.perSecond));
		previous.forEach((process, share) -> {
			RateDemand demand = this.demands.get(process);
			double kept = reduction * share;
			if (demand != null && demand.wantedPerSecond() >= MIN_USE_TO_KEEP * kept
					&& this.shares.size() < maxHolders()) {
				assign(process, kept);
			}
		});
	}

	private void addHolders() {
		List<String> candidates = this.demands.keySet()
			.stream()
			.filter((process) -> !this.shares.containsKey(process)
					&& this.demands.get(process).wantedPerSecond() >= MIN_WANTED_PER_SECOND)
			.sorted(Comparator.comparingDouble((String process) -> -this.demands.get(process).wantedPerSecond())
				.thenComparing(Comparator.naturalOrder()))
			.toList();
		for (String process : candidates) {
			if (this.shares.size() < maxHolders() && this.unallocated > MAX_UNALLOCATED * this.perSecond) {
				assign(process,
						Math.min(this.unallocated, this.demandFactor * this.demands.get(process).wantedPerSecond()));
			}
		}
	}

	private void raiseShares() {
		for (String process : List.copyOf(this.shares.keySet())) {
			double previous = this.shares.get(process);
			double maxShare = this.demandFactor * this.demands.get(process).wantedPerSecond();
			if (maxShare > previous) {
				this.unallocated += previous;
				assign(process, Math.min(this.unallocated, maxShare));
			}
		}
	}

	private void assign(String process, double share) {
		this.shares.put(process, share);
		this.unallocated -= share;
	}

	// Together the holders may save one second of the rate and one request.
	private int maxHolders() {
		return (int) Math.min(Integer.MAX_VALUE, this.perSecond + 1);
	}

}
