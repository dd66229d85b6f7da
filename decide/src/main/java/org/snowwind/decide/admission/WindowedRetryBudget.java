package org.snowwind.decide.admission;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Allows one process its part of the retries that all processes together may make in a
 * sliding window.
 *
 * <p>
 * Each process spends a fraction of the requests that it took itself, and an equal part
 * of a fixed extra. So the sum over all processes stays within the bound without a word
 * between them.
 */
public final class WindowedRetryBudget {

	/**
	 * The part of the bound that is spent: requests and retries of one window reach a
	 * server a little later than they are counted here.
	 */
	private static final double SAFETY = 0.8;

	private final double fraction;

	private final int extra;

	private final long windowMillis;

	private final Deque<Long> requestsMillis = new ArrayDeque<>();

	private final Deque<Long> retriesMillis = new ArrayDeque<>();

	/**
	 * Creates a budget.
	 * @param fraction retries per request
	 * @param extra further retries in a window, for all processes together
	 * @param windowMillis the window, in milliseconds
	 */
	public WindowedRetryBudget(double fraction, int extra, long windowMillis) {
		this.fraction = fraction;
		this.extra = extra;
		this.windowMillis = windowMillis;
	}

	/**
	 * Takes note of a request.
	 * @param nowMillis the time, in milliseconds
	 */
	public void request(long nowMillis) {
		this.requestsMillis.addLast(nowMillis);
		forget(nowMillis);
	}

	/**
	 * Takes note of a retry.
	 * @param nowMillis the time, in milliseconds
	 */
	public void retried(long nowMillis) {
		this.retriesMillis.addLast(nowMillis);
	}

	/**
	 * Tells whether a retry is allowed.
	 * @param nowMillis the time, in milliseconds
	 * @param processes how many processes share the extra
	 * @return true if it is
	 */
	public boolean allows(long nowMillis, int processes) {
		forget(nowMillis);
		double allowed = SAFETY
				* (this.fraction * this.requestsMillis.size() + (double) this.extra / Math.max(1, processes));
		return this.retriesMillis.size() + 1 <= allowed;
	}

	private void forget(long nowMillis) {
		forget(this.requestsMillis, nowMillis);
		forget(this.retriesMillis, nowMillis);
	}

	private void forget(Deque<Long> times, long nowMillis) {
		while (!times.isEmpty() && times.peekFirst() <= nowMillis - this.windowMillis) {
			times.removeFirst();
		}
	}

}
