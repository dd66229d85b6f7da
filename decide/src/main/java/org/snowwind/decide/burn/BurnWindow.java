package org.snowwind.decide.burn;

/**
 * Time windows over which the burn rate is computed.
 */
public enum BurnWindow {

	/** Five minutes. */
	FIVE_MINUTES("5m", 5),

	/** One hour. */
	ONE_HOUR("1h", 60),

	/** Six hours. */
	SIX_HOURS("6h", 360),

	/** Three days, the window of the error budget. */
	THREE_DAYS("3d", 4320);

	private final String label;

	private final int minutes;

	BurnWindow(String label, int minutes) {
		this.label = label;
		this.minutes = minutes;
	}

	/**
	 * Returns the short name of the window.
	 * @return for example {@code 1h}
	 */
	public String label() {
		return this.label;
	}

	/**
	 * Returns the length of the window.
	 * @return the length, in minutes
	 */
	public int minutes() {
		return this.minutes;
	}

}
