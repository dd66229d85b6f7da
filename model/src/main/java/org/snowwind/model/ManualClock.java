package org.snowwind.model;

/**
 * A clock that moves only when told to, for tests and replays.
 */
public final class ManualClock implements MonotonicClock {

	private long nowMillis;

	/**
	 * Creates a clock.
	 * @param startMillis the first reading, in milliseconds
	 */
	public ManualClock(long startMillis) {
		this.nowMillis = startMillis;
	}

	@Override
	public long nowMillis() {
		return this.nowMillis;
	}

	/**
	 * Moves the clock forward.
	 * @param stepMillis how far, in milliseconds; not negative
	 */
	public void advance(long stepMillis) {
		if (stepMillis < 0) {
			throw new IllegalArgumentException("a monotonic clock never runs backwards: " + stepMillis);
		}
		this.nowMillis += stepMillis;
	}

}
