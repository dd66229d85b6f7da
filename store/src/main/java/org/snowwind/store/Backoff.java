package org.snowwind.store;

import java.util.random.RandomGenerator;

/**
 * Exponential backoff with jitter. Confined to one thread.
 */
final class Backoff {

	private final long firstMillis;

	private final long mostMillis;

	private final RandomGenerator random;

	private long nextMillis;

	private boolean failed;

	/**
	 * Creates a backoff without a failure.
	 * @param firstMillis the maximum first pause, in milliseconds
	 * @param mostMillis the maximum pause, in milliseconds
	 * @param random draws each pause from the upper half of its range
	 */
	Backoff(long firstMillis, long mostMillis, RandomGenerator random) {
		this.firstMillis = firstMillis;
		this.mostMillis = Math.max(firstMillis, mostMillis);
		this.random = random;
		this.nextMillis = firstMillis;
	}

	/**
	 * Records a failure.
	 * @return the pause after it, in milliseconds
	 */
	long failed() {
		this.failed = true;
		long pauseMillis = this.nextMillis / 2 + this.random.nextLong(this.nextMillis / 2 + 1);
		this.nextMillis = Math.min(this.mostMillis, this.nextMillis * 2);
		return pauseMillis;
	}

	/**
	 * Records a success.
	 */
	void succeeded() {
		this.failed = false;
		this.nextMillis = this.firstMillis;
	}

	/**
	 * Returns whether a call has failed since the last success.
	 * @return true if one has
	 */
	boolean hasFailed() {
		return this.failed;
	}

}
