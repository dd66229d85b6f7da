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
	 * Returns the clock of this process.
	 * @return a clock over {@link System#nanoTime()}
	 */
	static MonotonicClock system() {
		return () -> System.nanoTime() / 1_000_000L;
	}

}
