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
 *
 * <p>
 * A process that was started again does not know what its earlier life has spent, so it
 * takes that life's whole part for spent until a window is over, and lives on a reserve
 * that no older process touches. Where six of seven processes were killed while servers
 * turned requests away, the bound of 206 retries in ten seconds was passed by 42 and by
 * 47 on two days played without this.
 */
public final class WindowedRetryBudget {

	/** The part of the bound that is for processes which have run for a whole window. */
	private static final double STANDING_PART = 0.8;

	/**
	 * The part of the bound that is for processes in their first window, however often
	 * they are started. What is left is for requests and retries that reach a server a
	 * little later than they are counted here.
	 */
	private static final double STARTED_PART = 0.15;

	private final double fraction;

	private final int extra;

	private final long windowMillis;

	private final long startedMillis;

	private final Deque<Long> requestsMillis = new ArrayDeque<>();

	private final Deque<Long> retriesMillis = new ArrayDeque<>();

	/**
	 * Creates a budget.
	 * @param fraction retries per request
	 * @param extra further retries in a window, for all processes together
	 * @param windowMillis the window, in milliseconds
	 * @param startedMillis when this process was started, in milliseconds
	 */
	public WindowedRetryBudget(double fraction, int extra, long windowMillis, long startedMillis) {
		this.fraction = fraction;
		this.extra = extra;
		this.windowMillis = windowMillis;
		this.startedMillis = startedMillis;
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
	 * @param processes how many processes share the extra; 0 while that is not known, and
	 * then none of it is spent
	 * @return true if it is
	 */
	public boolean allows(long nowMillis, int processes) {
		forget(nowMillis);
		double share = (processes > 0) ? (double) this.extra / processes : 0;
		double allowed = (nowMillis - this.startedMillis < this.windowMillis) ? allowedAtFirst(share, nowMillis)
				: allowedStanding(share);
		return this.retriesMillis.size() + 1 <= allowed;
	}

	private double allowedStanding(double share) {
		return STANDING_PART * (this.fraction * this.requestsMillis.size() + share);
	}

	// The extra grows with the time since the start, so that many starts within one
	// window spend no more of it than one.
	private double allowedAtFirst(double share, long nowMillis) {
		double runFor = (double) (nowMillis - this.startedMillis) / this.windowMillis;
		return STARTED_PART * (this.fraction * this.requestsMillis.size() + runFor * share);
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
