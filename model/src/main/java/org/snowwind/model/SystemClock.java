package org.snowwind.model;

/**
 * The one clock of this process, so that all its parts count the same suspensions.
 */
final class SystemClock {

	static final MonotonicClock INSTANCE = new SuspensionClock(() -> System.nanoTime() / 1_000_000L,
			System::currentTimeMillis, SuspensionClock::uptimeMillis);

	private SystemClock() {
	}

}
