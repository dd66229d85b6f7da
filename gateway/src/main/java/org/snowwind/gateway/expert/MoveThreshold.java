package org.snowwind.gateway.expert;

/**
 * Learns how far what is read of demand strays while demand stays, and tells from it when
 * demand has moved. Not safe for several threads.
 *
 * <p>
 * Flat demand moves by less than steep demand: where the most wanted of 192 experts get a
 * few times as much as the rest, a move of six in ten of them changes a sixth of all
 * choices. How far reads stray depends on how many requests they cover. So no one figure
 * serves both.
 */
final class MoveThreshold {

	/** A share beyond which demand has moved however far reads stray. */
	private static final double MOST = 0.25;

	/** A share below which a new map would not be worth its copies. */
	private static final double LEAST = 0.07;

	/** How many times the usual distance a move is. */
	private static final double FACTOR = 1.6;

	/** The least part of a new distance in the mean; the first ones count more. */
	private static final double LEAST_SHARE = 0.15;

	private double usual = MOST / FACTOR;

	private int learnt;

	/**
	 * Returns the share beyond which demand has moved.
	 * @return the share, from 0 to 1
	 */
	double share() {
		return Math.max(LEAST, Math.min(MOST, FACTOR * this.usual));
	}

	/**
	 * Judges a share, and learns from it if demand has stayed.
	 * @param share which part of the choices went to other experts than before; 0 if that
	 * cannot be told
	 * @return whether demand has moved
	 */
	boolean exceededBy(double share) {
		if (share > share()) {
			return true;
		}
		if (share > 0) {
			this.learnt++;
			this.usual += Math.max(LEAST_SHARE, 1.0 / this.learnt) * (share - this.usual);
		}
		return false;
	}

}
