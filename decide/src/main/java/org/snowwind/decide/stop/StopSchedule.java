package org.snowwind.decide.stop;

import org.snowwind.model.MonotonicClock;

/**
 * A stop whose one end is known from its beginning.
 *
 * <p>
 * Until whoever sends requests can know of the stop, all are taken: refusing them would
 * fail callers that had no way to go elsewhere. From then on a request is taken only if
 * it surely ends before the stop does, because one that is cut off is lost, and one that
 * is refused at once runs elsewhere. The end never moves, so that the answer to "can this
 * still be finished?" is the same for all that ask.
 */
public final class StopSchedule {

	private final MonotonicClock clock;

	private final long knownMillis;

	private final long endMillis;

	/**
	 * Begins a stop now.
	 * @param clock tells the time
	 * @param knownAfterMillis after how long balancers, or whoever else sends requests,
	 * can know of the stop, in milliseconds
	 * @param totalMillis how long the stop may last, without what closing down takes, in
	 * milliseconds
	 */
	public StopSchedule(MonotonicClock clock, long knownAfterMillis, long totalMillis) {
		this.clock = clock;
		long beganMillis = clock.nowMillis();
		this.endMillis = beganMillis + totalMillis;
		this.knownMillis = Math.min(beganMillis + knownAfterMillis, this.endMillis);
	}

	/**
	 * Tells whether a request that arrives now is to be taken in.
	 * @param neededMillis the longest that it may take, in milliseconds
	 * @return true if it surely ends in time, or if its sender can't know of the stop yet
	 */
	public boolean takes(long neededMillis) {
		if (over()) {
			return false;
		}
		return !known() || neededMillis <= leftMillis();
	}

	/**
	 * Tells whether those who send requests can know of the stop.
	 * @return true if they can
	 */
	public boolean known() {
		return this.clock.nowMillis() >= this.knownMillis;
	}

	/**
	 * Tells whether the end has come.
	 * @return true if what still runs is cut off now
	 */
	public boolean over() {
		return leftMillis() == 0;
	}

	/**
	 * Returns how long the stop still lasts.
	 * @return the time left, in milliseconds; 0 if the end has come
	 */
	public long leftMillis() {
		return Math.max(0, this.endMillis - this.clock.nowMillis());
	}

	/**
	 * Bounds the time that a request may take by what the stop has left, so that it ends
	 * with a true answer before it would be cut off.
	 * @param neededMillis the longest that it may take, in milliseconds
	 * @return the time that it may take now, in milliseconds
	 */
	public long boundedMillis(long neededMillis) {
		return Math.min(neededMillis, leftMillis());
	}

}
