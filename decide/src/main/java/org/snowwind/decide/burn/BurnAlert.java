package org.snowwind.decide.burn;

import java.util.Map;

/**
 * Whether a budget is used up so fast that somebody should look.
 *
 * <p>
 * Each alert needs a long and a short window, so that it neither starts on a blip nor
 * stays on long after the trouble has ended.
 */
public enum BurnAlert {

	/** Nothing to do. */
	NONE,

	/** The budget will be gone before its window ends. */
	SLOW,

	/** The budget will be gone within hours. */
	FAST;

	private static final double FAST_BURN = 14.4;

	private static final double SLOW_BURN = 6;

	/**
	 * Decides.
	 * @param burns the burn over each window
	 * @return the alert
	 */
	public static BurnAlert of(Map<BurnWindow, Double> burns) {
		if (both(burns, BurnWindow.ONE_HOUR, BurnWindow.FIVE_MINUTES, FAST_BURN)) {
			return FAST;
		}
		return both(burns, BurnWindow.SIX_HOURS, BurnWindow.ONE_HOUR, SLOW_BURN) ? SLOW : NONE;
	}

	private static boolean both(Map<BurnWindow, Double> burns, BurnWindow longer, BurnWindow shorter, double burn) {
		return burns.get(longer) >= burn && burns.get(shorter) >= burn;
	}

}
