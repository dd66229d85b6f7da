package org.snowwind.decide.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/**
 * Keeps places free for organisations that use less than their share, as many as they
 * needed lately.
 *
 * <p>
 * A fair queue alone lets a flooding organisation fill every place of a back end, and a
 * quiet one then waits until work ends. Here an organisation over its share may not take
 * a place that another one, under its own share, needed at its recent peak. What peaks do
 * not claim is free for all, so little is left idle.
 */
public final class ShareGuard {

	private static final double LN_2 = Math.log(2);

	private static final double FORGOTTEN = 0.5;

	private final ToDoubleFunction<String> weights;

	private final double halfLifeMillis;

	private final Map<String, Usage> usages = new HashMap<>();

	private int running;

	/**
	 * Creates a guard that knows no organisations.
	 * @param weights the weight of an organisation by its name
	 * @param halfLifeMillis after this time a peak counts half, in milliseconds
	 */
	public ShareGuard(ToDoubleFunction<String> weights, double halfLifeMillis) {
		this.weights = weights;
		this.halfLifeMillis = halfLifeMillis;
	}

	/**
	 * Takes note of work that arrived.
	 * @param organisation whose it is
	 * @param nowMillis the time, in milliseconds
	 */
	public void arrived(String organisation, long nowMillis) {
		Usage usage = this.usages.computeIfAbsent(organisation, (name) -> new Usage(nowMillis));
		usage.waiting++;
		usage.raisePeak(nowMillis, this.halfLifeMillis);
	}

	/**
	 * Takes note of work that left without having begun.
	 * @param organisation whose it is
	 */
	public void left(String organisation) {
		this.usages.get(organisation).waiting--;
	}

	/**
	 * Takes note of work that began.
	 * @param organisation whose it is
	 */
	public void began(String organisation) {
		Usage usage = this.usages.get(organisation);
		usage.waiting--;
		usage.running++;
		this.running++;
	}

	/**
	 * Takes note of work that ended.
	 * @param organisation whose it is
	 */
	public void ended(String organisation) {
		this.usages.get(organisation).running--;
		this.running--;
	}

	/**
	 * Asks whether an organisation may begin more work.
	 * @param organisation the organisation
	 * @param limit how many pieces of work may run at once
	 * @param nowMillis the time, in milliseconds
	 * @return true if it may
	 */
	public boolean mayBegin(String organisation, int limit, long nowMillis) {
		if (this.running >= limit) {
			return false;
		}
		double allWeights = activeWeights(nowMillis);
		Usage own = this.usages.get(organisation);
		boolean underShare = own.running < limit * this.weights.applyAsDouble(organisation) / allWeights;
		return underShare || this.running + reservedForOthers(organisation, limit, allWeights, nowMillis) < limit;
	}

	/**
	 * Tells how many places an organisation has or may count on.
	 * @param organisation the organisation
	 * @param limit how many pieces of work may run at once
	 * @param nowMillis the time, in milliseconds
	 * @return its running work or its share, whichever is more
	 */
	public double places(String organisation, int limit, long nowMillis) {
		Usage own = this.usages.get(organisation);
		double weight = this.weights.applyAsDouble(organisation);
		boolean counted = own != null && own.active(nowMillis, this.halfLifeMillis);
		double share = limit * weight / (activeWeights(nowMillis) + (counted ? 0 : weight));
		return Math.max(share, (own != null) ? own.running : 0);
	}

	private double activeWeights(long nowMillis) {
		double sum = 0;
		for (Map.Entry<String, Usage> entry : this.usages.entrySet()) {
			if (entry.getValue().active(nowMillis, this.halfLifeMillis)) {
				sum += this.weights.applyAsDouble(entry.getKey());
			}
		}
		return Math.max(sum, Double.MIN_NORMAL);
	}

	private int reservedForOthers(String organisation, int limit, double allWeights, long nowMillis) {
		int reserved = 0;
		for (Map.Entry<String, Usage> entry : this.usages.entrySet()) {
			if (!entry.getKey().equals(organisation)) {
				int share = (int) (limit * this.weights.applyAsDouble(entry.getKey()) / allWeights);
				reserved += entry.getValue().unusedPeak(share, nowMillis, this.halfLifeMillis);
			}
		}
		return reserved;
	}

	/**
	 * Forgets organisations that have long been away.
	 * @param nowMillis the time, in milliseconds
	 */
	public void forgetIdle(long nowMillis) {
		this.usages.values().removeIf((usage) -> !usage.active(nowMillis, this.halfLifeMillis));
	}

	private static final class Usage {

		private int waiting;

		private int running;

		private double peak;

		private long peakMillis;

		private Usage(long nowMillis) {
			this.peakMillis = nowMillis;
		}

		private double peakNow(long nowMillis, double halfLifeMillis) {
			return this.peak * Math.exp(-LN_2 * (nowMillis - this.peakMillis) / halfLifeMillis);
		}

		private void raisePeak(long nowMillis, double halfLifeMillis) {
			this.peak = Math.max(this.waiting + this.running, peakNow(nowMillis, halfLifeMillis));
			this.peakMillis = nowMillis;
		}

		private boolean active(long nowMillis, double halfLifeMillis) {
			return this.waiting + this.running > 0 || peakNow(nowMillis, halfLifeMillis) >= FORGOTTEN;
		}

		private int unusedPeak(int share, long nowMillis, double halfLifeMillis) {
			long wanted = Math.min(share, Math.round(peakNow(nowMillis, halfLifeMillis)));
			return (int) Math.max(0, wanted - this.running);
		}

	}

}
