package org.snowwind.app.soak;

import java.util.concurrent.TimeUnit;

import org.snowwind.http.DataLoop;

/**
 * Tells whether the soak's own servers are kept from running: where their machine is too
 * busy, what they answer late is no finding.
 */
final class LoopWatch {

	private static final long TICK_MILLIS = 20;

	/** A tick that comes so much late shows a machine that is too busy. */
	private static final long LATE_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

	/** After so long without a late tick the machine is not too busy. */
	private static final long STEADY_NANOS = TimeUnit.SECONDS.toNanos(4);

	private volatile long lastTickNanos = System.nanoTime();

	private volatile long lastLateNanos = System.nanoTime();

	LoopWatch(DataLoop loop) {
		loop.every(this::tick, TICK_MILLIS);
	}

	private void tick() {
		long now = System.nanoTime();
		if (now - this.lastTickNanos > LATE_NANOS) {
			this.lastLateNanos = now;
		}
		this.lastTickNanos = now;
	}

	boolean lateSince(long nanos) {
		return this.lastLateNanos - nanos >= 0 || System.nanoTime() - this.lastTickNanos > LATE_NANOS;
	}

	void awaitSteady(long mostMillis) throws InterruptedException {
		long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(mostMillis);
		while (lateSince(System.nanoTime() - STEADY_NANOS) && System.nanoTime() < endNanos) {
			TimeUnit.MILLISECONDS.sleep(TICK_MILLIS);
		}
	}

}
