package org.snowwind.store;

import java.util.function.IntSupplier;

/**
 * Decides when a process asks the store whether its copy is still the newest, and how
 * long it waits for answers, so that no copy is unconfirmed for longer than a bound while
 * the store can be reached.
 *
 * <p>
 * One process confirms for all: its peers learn of the answer and need none of their own.
 * The first in rank asks at 0.58 of the bound, the second at 0.68, and all others at
 * 0.75. The last quarter is for the call and for peers to learn of it.
 */
public final class ConfirmationSchedule {

	private static final int INTERVALS_PER_BOUND = 2;

	/** The share of the bound at which each rank asks; the last one is for all others. */
	private static final double[] SHARES = { 0.58, 0.68, 0.75 };

	private static final int STEPS_PER_BOUND = 8;

	private static final int CALLS_PER_BOUND = 2;

	private final long boundMillis;

	private final IntSupplier rank;

	/**
	 * Creates a schedule.
	 * @param boundMillis for how long a copy may be unconfirmed, in milliseconds
	 * @param rank asked how many live peers ask before this process
	 */
	public ConfirmationSchedule(long boundMillis, IntSupplier rank) {
		this.boundMillis = boundMillis;
		this.rank = rank;
	}

	/**
	 * Tells whether this process asks the store.
	 * @param unconfirmedMillis for how long nothing has confirmed its copy, in
	 * milliseconds
	 * @return true if it does, or has done so a short time ago
	 */
	public boolean isDue(long unconfirmedMillis) {
		double share = (double) unconfirmedMillis / this.boundMillis;
		int last = SHARES.length - 1;
		return share >= SHARES[0]
				&& (share >= SHARES[last] || share >= SHARES[Math.min(last, Math.max(0, this.rank.getAsInt()))]);
	}

	/**
	 * Returns how long an unanswered call holds back the next one. The first one goes on:
	 * a slow store answers it later, a silent connection never does.
	 * @return the time, in milliseconds
	 */
	public long retryMillis() {
		return this.boundMillis / INTERVALS_PER_BOUND;
	}

	/**
	 * Returns how long a copy that a peer knows to be older is left to the watch that is
	 * waiting, before the store is asked.
	 * @return the time, in milliseconds
	 */
	public long stepMillis() {
		return this.boundMillis / STEPS_PER_BOUND;
	}

	/**
	 * Returns how long the store may take to answer a call.
	 * @return the time, in milliseconds
	 */
	public long callMillis() {
		return this.boundMillis * CALLS_PER_BOUND;
	}

}
