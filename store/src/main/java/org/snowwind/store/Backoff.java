package org.snowwind.store;

import java.util.random.RandomGenerator;

/**
 * Pauses that double with each failure, spread at random. Confined to one thread.
 */
final class Backoff {

	private final long firstMillis;

	private final long mostMillis;

	private final RandomGenerator random;

	private long nextMillis;

	private boolean failed;

	/**
	 * Creates a back-off without a failure.
	 * @param firstMillis the longest first pause, in milliseconds
	 * @param mostMillis the longest pause, in milliseconds
	 * @param random spreads pauses over the upper half of their length
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
	 * Tells whether there was a failure since the last success.
	 * @return true if there was
	 */
	boolean hasFailed() {
		return this.failed;
	}

}
