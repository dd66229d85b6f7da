package org.snowwind.decide.notice;

/**
 * The backoff of this process towards one incarnation of a server, and the ramp-up of
 * requests after it.
 *
 * <p>
 * A delay starts when the response arrives, which is later than when the server sent it.
 * No later response shortens it, because the delay of each rejection must be kept.
 */
public final class ServerBackoff {

	private static final long NEVER = Long.MIN_VALUE;

	private long startMillis = NEVER;

	private long untilMillis = NEVER;

	private RampUp rampUp = RampUp.UNRESTRICTED;

	private long lastSentMillis = NEVER;

	/**
	 * Records a rejection with {@code Retry-After}.
	 * @param retryAfterMillis the delay, in milliseconds
	 * @param nextRampUp the ramp-up after the backoff
	 * @param nowMillis the time, in milliseconds
	 * @return true if the backoff now ends later than before
	 */
	public boolean recordRetryAfter(long retryAfterMillis, RampUp nextRampUp, long nowMillis) {
		long endMillis = nowMillis + retryAfterMillis;
		if (endMillis <= this.untilMillis || retryAfterMillis <= 0) {
			return false;
		}
		this.startMillis = isActive(nowMillis) ? this.startMillis : nowMillis;
		this.untilMillis = endMillis;
		this.rampUp = nextRampUp;
		this.lastSentMillis = NEVER;
		return true;
	}

	/**
	 * Records a request that is sent to the server.
	 * @param nowMillis the time, in milliseconds
	 */
	public void recordSent(long nowMillis) {
		this.lastSentMillis = nowMillis;
	}

	/**
	 * Returns whether the backoff is in force.
	 * @param nowMillis the time, in milliseconds
	 * @return true until the delay is over
	 */
	public boolean isActive(long nowMillis) {
		return nowMillis < this.untilMillis;
	}

	/**
	 * Returns whether a request may be sent.
	 * @param nowMillis the time, in milliseconds
	 * @return false during the backoff, and during the ramp-up until the interval since
	 * the last request has passed
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
		long rampUpStartMillis = this.untilMillis + this.rampUp.offsetMillis();
		if (this.lastSentMillis == NEVER || this.untilMillis == NEVER) {
			return rampUpStartMillis;
		}
		return Math.max(rampUpStartMillis,
				this.lastSentMillis + this.rampUp.intervalMillis(nowMillis - rampUpStartMillis));
	}

	/**
	 * Returns when the current backoff began, or the last one if none is in force.
	 * @return the time, in milliseconds
	 */
	public long startMillis() {
		return this.startMillis;
	}

	/**
	 * Returns when the backoff ends.
	 * @return the time, in milliseconds; {@link Long#MIN_VALUE} if the server never asked
	 * for one
	 */
	public long untilMillis() {
		return this.untilMillis;
	}

}
