package org.snowwind.store;

import java.util.concurrent.atomic.AtomicLong;

import org.snowwind.model.MonotonicClock;

/**
 * As of when a copy of the store's objects is known to hold every acknowledged change.
 *
 * <p>
 * An answer proves what was true when its call was sent; it may have been under way for
 * any time since. Thread-safe.
 */
public final class Freshness {

	private final MonotonicClock clock;

	private final AtomicLong confirmedMillis;

	/**
	 * Creates the freshness of a copy that holds nothing yet.
	 * @param clock tells the time
	 */
	public Freshness(MonotonicClock clock) {
		this.clock = clock;
		this.confirmedMillis = new AtomicLong(clock.nowMillis());
	}

	/**
	 * Records that the copy holds every change acknowledged before a moment.
	 * @param asOfMillis the moment, in milliseconds
	 */
	public void confirm(long asOfMillis) {
		this.confirmedMillis.accumulateAndGet(asOfMillis, Math::max);
	}

	/**
	 * Returns for how long nothing has confirmed the copy.
	 * @return the time, in milliseconds; since its creation if nothing ever did
	 */
	public long unconfirmedMillis() {
		return Math.max(0, this.clock.nowMillis() - this.confirmedMillis.get());
	}

}
