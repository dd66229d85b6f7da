package org.snowwind.decide.limit;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits what one process sends to a rate-limited server in addition to the requests of
 * callers: queries and orders that no other process sends it.
 *
 * <p>
 * The requests of callers may use the whole rate. The excess that a server tolerates for
 * a short time is reserved for these calls, so that an overloaded server can still be
 * asked for its state.
 */
public final class CallAllowance {

	/**
	 * The window over which a server counts the requests that it receives, in
	 * milliseconds.
	 */
	private static final long WINDOW_MILLIS = 4000;

	/**
	 * How many calls beyond one second's rate a server tolerates in a window, in addition
	 * to the requests of callers.
	 */
	private static final int EXTRA_CALLS = 3;

	private final Deque<Long> callMillis = new ArrayDeque<>();

	/**
	 * Records a call.
	 * @param nowMillis the time, in milliseconds
	 */
	public void recordCall(long nowMillis) {
		removeExpired(nowMillis);
		this.callMillis.addLast(nowMillis);
	}

	/**
	 * Returns how many calls may still be made.
	 * @param limitPerSecond the server's limit, in requests per second
	 * @param nowMillis the time, in milliseconds
	 * @return the number of calls; 0 or less if none may be made
	 */
	public double remaining(double limitPerSecond, long nowMillis) {
		removeExpired(nowMillis);
		return limitPerSecond + EXTRA_CALLS - this.callMillis.size();
	}

	private void removeExpired(long nowMillis) {
		while (!this.callMillis.isEmpty() && this.callMillis.peekFirst() <= nowMillis - WINDOW_MILLIS) {
			this.callMillis.removeFirst();
		}
	}

}
