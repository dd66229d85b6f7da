package org.snowwind.gateway.expert;

/**
 * Rounds shares and skews for the log.
 */
final class Thousandths {

	private static final double PER_ONE = 1000;

	private Thousandths() {
	}

	/**
	 * Rounds to three places.
	 * @param value a share or a skew
	 * @return the nearest number of thousandths
	 */
	static double of(double value) {
		return Math.round(value * PER_ONE) / PER_ONE;
	}

}
