package org.snowwind.model;

/**
 * A source of elapsed time that never runs backwards.
 *
 * <p>
 * Decisions take their time from here, so that a test can move it by hand. Values of two
 * processes are not comparable: what crosses processes is a remaining duration.
 */
@FunctionalInterface
public interface MonotonicClock {

	/**
	 * Reads the clock.
	 * @return milliseconds since an arbitrary origin of this process
	 */
	long nowMillis();

	/**
	 * Tells how much of the elapsed time this process did not see since its VM was
	 * suspended. Timers that were set before run late by so much.
	 * @return the sum since the start of this process, in milliseconds
	 */
	default long suspendedMillis() {
		return 0;
	}

	/**
	 * Returns the clock of this process.
	 * @return a clock over {@link System#nanoTime()} that counts suspensions
	 */
	static MonotonicClock system() {
		return SystemClock.INSTANCE;
	}

}
