package org.snowwind.store;

import java.util.function.IntSupplier;

/**
 * Decides when a process asks the store whether its copy is current, and how long it
 * waits for the response, so that no copy stays unconfirmed longer than a bound while the
 * store is reachable.
 *
 * <p>
 * One process asks on behalf of all and reports the result to its peers. The first in
 * rank asks at 0.58 of the bound, the second at 0.68, and all others at 0.75. The last
 * quarter leaves time for the call and for the reports.
 */
public final class ConfirmationSchedule {

	private static final int INTERVALS_PER_BOUND = 2;

	/**
	 * The share of the bound at which each rank asks. The last value is for all others.
	 */
	private static final double[] SHARES = { 0.58, 0.68, 0.75 };

	private static final int STEPS_PER_BOUND = 8;

	private static final int CALLS_PER_BOUND = 2;

	private final long boundMillis;

	private final IntSupplier rank;

	/**
	 * Creates a schedule.
	 * @param boundMillis the maximum time that a copy may be unconfirmed, in milliseconds
	 * @param rank supplies the number of live peers that ask before this process
	 */
	public ConfirmationSchedule(long boundMillis, IntSupplier rank) {
		this.boundMillis = boundMillis;
		this.rank = rank;
	}

	/**
	 * Returns whether this process asks the store.
	 * @param unconfirmedMillis the time since its copy was confirmed, in milliseconds
	 * @return true if the time of its rank has come
	 */
	public boolean isDue(long unconfirmedMillis) {
		double share = (double) unconfirmedMillis / this.boundMillis;
		int last = SHARES.length - 1;
		return share >= SHARES[0]
				&& (share >= SHARES[last] || share >= SHARES[Math.min(last, Math.max(0, this.rank.getAsInt()))]);
	}

	/**
	 * Returns whether a copy has been unconfirmed for longer than the bound, which no
	 * copy is while the store answers.
	 * @param unconfirmedMillis the time since the copy was confirmed, in milliseconds
	 * @return true if the store must have been unavailable
	 */
	public boolean isOverdue(long unconfirmedMillis) {
		return unconfirmedMillis > this.boundMillis;
	}

	/**
	 * Returns how long an unanswered call delays the next one. The unanswered call stays
	 * open, because a slow store still answers it; a silent connection never does.
	 * @return the time, in milliseconds
	 */
	public long retryMillis() {
		return this.boundMillis / INTERVALS_PER_BOUND;
	}

	/**
	 * Returns how long a copy that is older than that of a peer is left to the open watch
	 * before the store is asked.
	 * @return the time, in milliseconds
	 */
	public long stepMillis() {
		return this.boundMillis / STEPS_PER_BOUND;
	}

	/**
	 * Returns the timeout of a call.
	 * @return the time, in milliseconds
	 */
	public long callMillis() {
		return this.boundMillis * CALLS_PER_BOUND;
	}

}
