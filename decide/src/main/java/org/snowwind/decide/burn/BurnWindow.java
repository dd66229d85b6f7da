package org.snowwind.decide.burn;

/**
 * The windows over which burn is reckoned.
 */
public enum BurnWindow {

	/** Five minutes. */
	FIVE_MINUTES("5m", 5),

	/** One hour. */
	ONE_HOUR("1h", 60),

	/** Six hours. */
	SIX_HOURS("6h", 360),

	/** Three days, for which the budget is given. */
	THREE_DAYS("3d", 4320);

	private final String label;

	private final int minutes;

	BurnWindow(String label, int minutes) {
		this.label = label;
		this.minutes = minutes;
	}

	/**
	 * Returns the short name.
	 * @return for example {@code 1h}
	 */
	public String label() {
		return this.label;
	}

	/**
	 * Returns the length.
	 * @return minutes
	 */
	public int minutes() {
		return this.minutes;
	}

}
