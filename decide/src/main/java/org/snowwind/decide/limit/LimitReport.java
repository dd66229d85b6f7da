package org.snowwind.decide.limit;

/**
 * The newest limit that a server is known to have announced, as one process reports it to
 * another.
 *
 * @param perSecond requests per second; {@link #ENDED} if the server no longer announces
 * one
 * @param atMillis the time as of which the report is known to hold, in milliseconds: when
 * a response that announces the limit arrived or, for a limit that has ended, when the
 * request was sent whose response announces none
 */
public record LimitReport(double perSecond, long atMillis) {

	/** The rate of a limit that has ended. */
	public static final double ENDED = -1;

	/**
	 * Returns whether the limit has ended.
	 * @return true if the server no longer announces one
	 */
	public boolean ended() {
		return this.perSecond < 0;
	}

}
