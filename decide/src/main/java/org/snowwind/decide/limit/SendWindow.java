package org.snowwind.decide.limit;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Counts what one process sends to one server in a sliding window.
 */
public final class SendWindow {

	/**
	 * The length of the window, in milliseconds. A second is bounded, and a request may
	 * leave up to 150 ms after it was recorded, when its connection is open.
	 */
	public static final long WINDOW_MILLIS = 1150;

	private final Deque<Long> sentMillis = new ArrayDeque<>();

	/**
	 * Records a request.
	 * @param nowMillis the time, in milliseconds
	 */
	public void record(long nowMillis) {
		removeExpired(nowMillis);
		this.sentMillis.addLast(nowMillis);
	}

	/**
	 * Counts the requests in the window that ends now.
	 * @param nowMillis the time, in milliseconds
	 * @return a number of requests
	 */
	public int count(long nowMillis) {
		removeExpired(nowMillis);
		return this.sentMillis.size();
	}

	private void removeExpired(long nowMillis) {
		while (!this.sentMillis.isEmpty() && this.sentMillis.peekFirst() <= nowMillis - WINDOW_MILLIS) {
			this.sentMillis.removeFirst();
		}
	}

}
