package org.snowwind.decide.notice;

/**
 * How long one incarnation of a server wants no requests from this process, and how this
 * process returns to it.
 *
 * <p>
 * A delay counts from when the response arrived, which is later than when the server sent
 * it. No later response shortens it: each rejection binds on its own.
 */
public final class ServerBackoff {

	private static final long NEVER = Long.MIN_VALUE;

	private long startMillis = NEVER;

	private long untilMillis = NEVER;

	private ReturnPace pace = ReturnPace.AT_ONCE;

	private long lastSentMillis = NEVER;

	/**
	 * Records a rejection with {@code Retry-After}.
	 * @param retryAfterMillis the delay, in milliseconds
	 * @param next how this process returns afterwards
	 * @param nowMillis the time, in milliseconds
	 * @return whether the backoff ends later than before
	 */
	public boolean retryAfter(long retryAfterMillis, ReturnPace next, long nowMillis) {
		long endMillis = nowMillis + retryAfterMillis;
		if (endMillis <= this.untilMillis || retryAfterMillis <= 0) {
			return false;
		}
		this.startMillis = isActive(nowMillis) ? this.startMillis : nowMillis;
		this.untilMillis = endMillis;
		this.pace = next;
		this.lastSentMillis = NEVER;
		return true;
	}

	/**
	 * Records a request that is sent to the server.
	 * @param nowMillis the time, in milliseconds
	 */
	public void sent(long nowMillis) {
		this.lastSentMillis = nowMillis;
	}

	/**
	 * Tells whether the server wants no requests from this process.
	 * @param nowMillis the time, in milliseconds
	 * @return true until its delay is over
	 */
	public boolean isActive(long nowMillis) {
		return nowMillis < this.untilMillis;
	}

	/**
	 * Tells whether a request may be sent.
	 * @param nowMillis the time, in milliseconds
	 * @return false while the backoff lasts, and between two requests of the return
	 */
	public boolean admits(long nowMillis) {
		return nowMillis >= nextMillis(nowMillis);
	}

	/**
	 * Returns when the next request may be sent.
	 * @param nowMillis the time, in milliseconds
	 * @return the time, in milliseconds; in the past if one may be sent now
	 */
	public long nextMillis(long nowMillis) {
		long returnMillis = this.untilMillis + this.pace.offsetMillis();
		if (this.lastSentMillis == NEVER || this.untilMillis == NEVER) {
			return returnMillis;
		}
		return Math.max(returnMillis, this.lastSentMillis + this.pace.intervalMillis(nowMillis - returnMillis));
	}

	/**
	 * Returns since when the server wants no requests.
	 * @return the time, in milliseconds
	 */
	public long startMillis() {
		return this.startMillis;
	}

	/**
	 * Returns until when the server wants no requests.
	 * @return the time, in milliseconds; {@link Long#MIN_VALUE} if it never asked for
	 * that
	 */
	public long untilMillis() {
		return this.untilMillis;
	}

}
