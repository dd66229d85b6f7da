package org.snowwind.decide.burn;

import java.util.Map;

/**
 * Alert on the burn rate of an error budget.
 *
 * <p>
 * Each alert requires a high burn rate in a long and a short window. The long window
 * keeps a short spike from raising the alert, and the short window clears it soon after
 * the problem has ended.
 */
public enum BurnAlert {

	/** No alert. */
	NONE,

	/** At this rate, the budget is used up before its window ends. */
	SLOW,

	/** At this rate, the budget is used up within hours. */
	FAST;

	private static final double FAST_BURN_RATE = 14.4;

	private static final double SLOW_BURN_RATE = 6;

	/**
	 * Returns the alert for the burn rates.
	 * @param burnRates the burn rate in each window
	 * @return the alert
	 */
	public static BurnAlert of(Map<BurnWindow, Double> burnRates) {
		if (bothReach(burnRates, BurnWindow.ONE_HOUR, BurnWindow.FIVE_MINUTES, FAST_BURN_RATE)) {
			return FAST;
		}
		return bothReach(burnRates, BurnWindow.SIX_HOURS, BurnWindow.ONE_HOUR, SLOW_BURN_RATE) ? SLOW : NONE;
	}

	private static boolean bothReach(Map<BurnWindow, Double> burnRates, BurnWindow longer, BurnWindow shorter,
			double threshold) {
		return burnRates.get(longer) >= threshold && burnRates.get(shorter) >= threshold;
	}

}
