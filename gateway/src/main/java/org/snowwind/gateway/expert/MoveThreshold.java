package org.snowwind.gateway.expert;

/**
 * Detects shifts of demand with a threshold that adapts to the sampling noise of the
 * counts. Not thread-safe.
 *
 * <p>
 * A fixed threshold would not work: the noise depends on the number of requests that the
 * counts cover, and a shift of nearly uniform demand changes a small share of all
 * choices.
 */
final class MoveThreshold {

	/** A larger share is a shift regardless of the noise. */
	static final double MOST = 0.25;

	/** A smaller share does not justify the copies of a new map. */
	private static final double LEAST = 0.07;

	/**
	 * The number of mean deviations above the mean share at which demand has shifted.
	 */
	private static final double DEVIATIONS = 4;

	/**
	 * The same right after a jump of the pass time, which is evidence of a shift itself.
	 */
	private static final double DEVIATIONS_AFTER_JUMP = 2;

	/** The minimum weight of a new share in the averages. The first shares weigh more. */
	private static final double LEAST_SHARE = 0.15;

	private double usual;

	private double deviation = MOST / DEVIATIONS;

	private int learnt;

	/**
	 * Returns the share above which demand has shifted.
	 * @return the share, from 0 to 1
	 */
	double share() {
		return Math.max(LEAST, Math.min(MOST, this.usual + DEVIATIONS * this.deviation));
	}

	/**
	 * Returns the share above which demand has shifted if the pass time has just jumped.
	 * @return the share, from 0 to 1
	 */
	double shareAfterJump() {
		return Math.max(LEAST, Math.min(MOST, this.usual + DEVIATIONS_AFTER_JUMP * this.deviation));
	}

	/**
	 * Compares a share with the threshold, and adapts the threshold if demand has not
	 * shifted.
	 * @param share the share of the choices that went to other experts than before; 0 if
	 * it is not known
	 * @return whether demand has shifted
	 */
	boolean exceededBy(double share) {
		if (share > share()) {
			return true;
		}
		if (share > 0) {
			learn(share);
		}
		return false;
	}

	private void learn(double share) {
		this.learnt++;
		if (this.learnt == 1) {
			this.usual = share;
			this.deviation = share / 2;
			return;
		}
		double part = Math.max(LEAST_SHARE, 1.0 / this.learnt);
		this.deviation += part * (Math.abs(share - this.usual) - this.deviation);
		this.usual += part * (share - this.usual);
	}

}
