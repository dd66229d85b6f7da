package org.snowwind.gateway.request;

/**
 * Measures when the events of one response arrived. Confined to the event loop.
 */
final class EventTimes {

	/** Returned instead of a pause for the first event. */
	static final long FIRST_EVENT = -1;

	private final long startMillis;

	private long firstMillis;

	private long lastMillis;

	private long longestPauseMillis;

	private boolean started;

	/**
	 * Creates the times of a response that has not started.
	 * @param startMillis the time from which the first event is measured, in
	 * milliseconds: when the request arrived or, for one attempt, when it was sent
	 */
	EventTimes(long startMillis) {
		this.startMillis = startMillis;
	}

	/**
	 * Records the arrival of an event.
	 * @param nowMillis the current time, in milliseconds
	 * @return the pause before it, in milliseconds; {@link #FIRST_EVENT} for the first
	 * event
	 */
	long recordEvent(long nowMillis) {
		long pauseMillis = this.started ? nowMillis - this.lastMillis : FIRST_EVENT;
		this.lastMillis = nowMillis;
		if (this.started) {
			this.longestPauseMillis = Math.max(this.longestPauseMillis, pauseMillis);
		}
		else {
			this.started = true;
			this.firstMillis = nowMillis - this.startMillis;
		}
		return pauseMillis;
	}

	/**
	 * Returns whether an event was recorded.
	 * @return true from the first event on
	 */
	boolean started() {
		return this.started;
	}

	/**
	 * Returns the time from the start of the measurement to the first event.
	 * @return the time, in milliseconds; 0 before the first event
	 */
	long firstMillis() {
		return this.firstMillis;
	}

	/**
	 * Returns the longest pause between two events.
	 * @return the pause, in milliseconds
	 */
	long longestPauseMillis() {
		return this.longestPauseMillis;
	}

}
