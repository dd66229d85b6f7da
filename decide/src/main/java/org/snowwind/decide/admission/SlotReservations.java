package org.snowwind.decide.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/**
 * Reserves slots of a back end for organisations that use less than their share, as many
 * as they needed recently.
 *
 * <p>
 * A fair queue alone lets one organisation that floods the back end occupy all its slots,
 * so that another organisation waits until work ends. Here an organisation that exceeds
 * its share may not take a slot that another one, below its own share, needed at its
 * recent peak. Slots that no peak claims are available to all, so few stay idle.
 */
public final class SlotReservations {

	private static final double LN_2 = Math.log(2);

	private static final double MIN_PEAK = 0.5;

	private final ToDoubleFunction<String> weights;

	private final double halfLifeMillis;

	private final Map<String, Usage> usages = new HashMap<>();

	private int running;

	/**
	 * Creates an instance without any organisations.
	 * @param weights the weight of an organisation by its name
	 * @param halfLifeMillis the time in which a peak decays to half, in milliseconds
	 */
	public SlotReservations(ToDoubleFunction<String> weights, double halfLifeMillis) {
		this.weights = weights;
		this.halfLifeMillis = halfLifeMillis;
	}

	/**
	 * Records work that arrived.
	 * @param organisation the organisation's name
	 * @param nowMillis the time, in milliseconds
	 */
	public void arrived(String organisation, long nowMillis) {
		Usage usage = this.usages.computeIfAbsent(organisation, (name) -> new Usage(nowMillis));
		usage.waiting++;
		usage.raisePeak(nowMillis, this.halfLifeMillis);
	}

	/**
	 * Records work that left the queue without having begun.
	 * @param organisation the organisation's name
	 */
	public void abandoned(String organisation) {
		this.usages.get(organisation).waiting--;
	}

	/**
	 * Records work that began.
	 * @param organisation the organisation's name
	 */
	public void began(String organisation) {
		Usage usage = this.usages.get(organisation);
		usage.waiting--;
		usage.running++;
		this.running++;
	}

	/**
	 * Records work that ended.
	 * @param organisation the organisation's name
	 */
	public void ended(String organisation) {
		this.usages.get(organisation).running--;
		this.running--;
	}

	/**
	 * Returns whether an organisation may begin more work.
	 * @param organisation the organisation's name
	 * @param limit the concurrency limit of the back end
	 * @param nowMillis the time, in milliseconds
	 * @return true if it may
	 */
	public boolean mayBegin(String organisation, int limit, long nowMillis) {
		if (this.running >= limit) {
			return false;
		}
		double totalWeight = activeWeight(nowMillis);
		Usage own = this.usages.get(organisation);
		boolean belowShare = own.running < limit * this.weights.applyAsDouble(organisation) / totalWeight;
		return belowShare || this.running + reservedForOthers(organisation, limit, totalWeight, nowMillis) < limit;
	}

	/**
	 * Returns how many slots an organisation occupies or is entitled to.
	 * @param organisation the organisation's name
	 * @param limit the concurrency limit of the back end
	 * @param nowMillis the time, in milliseconds
	 * @return its running work or its share of the limit, whichever is more
	 */
	public double slots(String organisation, int limit, long nowMillis) {
		Usage own = this.usages.get(organisation);
		double weight = this.weights.applyAsDouble(organisation);
		boolean active = own != null && own.active(nowMillis, this.halfLifeMillis);
		double share = limit * weight / (activeWeight(nowMillis) + (active ? 0 : weight));
		return Math.max(share, (own != null) ? own.running : 0);
	}

	private double activeWeight(long nowMillis) {
		double sum = 0;
		for (Map.Entry<String, Usage> entry : this.usages.entrySet()) {
			if (entry.getValue().active(nowMillis, this.halfLifeMillis)) {
				sum += this.weights.applyAsDouble(entry.getKey());
			}
		}
		return Math.max(sum, Double.MIN_NORMAL);
	}

	private int reservedForOthers(String organisation, int limit, double totalWeight, long nowMillis) {
		int reserved = 0;
		for (Map.Entry<String, Usage> entry : this.usages.entrySet()) {
			if (!entry.getKey().equals(organisation)) {
				int share = (int) (limit * this.weights.applyAsDouble(entry.getKey()) / totalWeight);
				reserved += entry.getValue().unusedPeak(share, nowMillis, this.halfLifeMillis);
			}
		}
		return reserved;
	}

	/**
	 * Removes organisations without work whose peak has decayed.
	 * @param nowMillis the time, in milliseconds
	 */
	public void removeIdle(long nowMillis) {
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

		private double decayedPeak(long nowMillis, double halfLifeMillis) {
			return this.peak * Math.exp(-LN_2 * (nowMillis - this.peakMillis) / halfLifeMillis);
		}

		private void raisePeak(long nowMillis, double halfLifeMillis) {
			this.peak = Math.max(this.waiting + this.running, decayedPeak(nowMillis, halfLifeMillis));
			this.peakMillis = nowMillis;
		}

		private boolean active(long nowMillis, double halfLifeMillis) {
			return this.waiting + this.running > 0 || decayedPeak(nowMillis, halfLifeMillis) >= MIN_PEAK;
		}

		private int unusedPeak(int share, long nowMillis, double halfLifeMillis) {
			long reserved = Math.min(share, Math.round(decayedPeak(nowMillis, halfLifeMillis)));
			return (int) Math.max(0, reserved - this.running);
		}

	}

}
