package org.snowwind.gateway.request;

/**
 * When the events of one answer came. Confined to the loop.
 */
final class EventTimes {

	/** Stands for the pause before the first event. */
	static final long FIRST = -1;

	private final long arrivedMillis;

	private long firstMillis;

	private long lastMillis;

	private long longestPauseMillis;

	private boolean begun;

	/**
	 * Creates the times of an answer that has not begun.
	 * @param arrivedMillis when its request came, in milliseconds
	 */
	EventTimes(long arrivedMillis) {
		this.arrivedMillis = arrivedMillis;
	}

	/**
	 * Takes note of an event.
	 * @param nowMillis the time, in milliseconds
	 * @return the pause before it, in milliseconds; {@link #FIRST} for the first one
	 */
	long event(long nowMillis) {
		long pauseMillis = this.begun ? nowMillis - this.lastMillis : FIRST;
		this.lastMillis = nowMillis;
		if (this.begun) {
			this.longestPauseMillis = Math.max(this.longestPauseMillis, pauseMillis);
		}
		else {
			this.begun = true;
			this.firstMillis = nowMillis - this.arrivedMillis;
		}
		return pauseMillis;
	}

	/**
	 * Returns how long the first event took.
	 * @return the time since the request came, in milliseconds; 0 before it
	 */
	long firstMillis() {
		return this.firstMillis;
	}

	/**
	 * Returns the longest pause between events.
	 * @return the pause, in milliseconds
	 */
	long longestPauseMillis() {
		return this.longestPauseMillis;
	}

}
