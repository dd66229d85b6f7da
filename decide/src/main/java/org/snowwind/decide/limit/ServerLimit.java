package org.snowwind.decide.limit;

/**
 * The rate limit of one incarnation of a server, as far as one process knows it.
 *
 * <p>
 * Responses can overtake each other. A response without a limit ends the known limit only
 * if its request was sent after that limit was last announced. A response that announces
 * a limit again after it has ended, or announces a higher limit, applies only if its
 * request was sent after the latest update. A lower limit applies at once.
 */
public final class ServerLimit {

	/**
	 * The longest time for which a peer's report can be in transit, in milliseconds: a
	 * report is older than it appears by up to this much. Calls between peers time out
	 * sooner.
	 */
	private static final long MAX_TRANSIT_MILLIS = 1000;

	private boolean known;

	private double perSecond = LimitReport.ENDED;

	/** The time of the latest update. */
	private long updatedMillis;

	/** When the request was sent whose response ended the limit. */
	private long endSentMillis;

	private long changedMillis;

	/**
	 * Applies a response that announces a limit.
	 * @param rate the limit, in requests per second
	 * @param sentMillis when its request was sent, in milliseconds
	 * @param nowMillis the time, in milliseconds
	 * @return whether this changes the known limit
	 */
	public boolean onAnnouncement(double rate, long sentMillis, long nowMillis) {
		boolean surelyNewer = sentMillis > this.updatedMillis;
		if (this.known && !surelyNewer && (!isActive() || rate > this.perSecond)) {
			return false;
		}
		return update(rate, nowMillis, nowMillis);
	}

	/**
	 * Applies a response of the server that announces no limit.
	 * @param sentMillis when its request was sent, in milliseconds
	 * @param nowMillis the time, in milliseconds
	 * @return whether this ends a limit
	 */
	public boolean onNoAnnouncement(long sentMillis, long nowMillis) {
		if (!isActive() || sentMillis <= this.updatedMillis) {
			return false;
		}
		this.endSentMillis = sentMillis;
		return update(LimitReport.ENDED, nowMillis, nowMillis);
	}

	/**
	 * Applies a report from a peer.
	 * @param report the report, with its time converted to the clock of this process
	 * @param nowMillis the time, in milliseconds
	 * @return whether this changes the known limit
	 */
	public boolean onPeerReport(LimitReport report, long nowMillis) {
		if (report.ended()) {
			boolean newer = isActive() && report.atMillis() - MAX_TRANSIT_MILLIS > this.updatedMillis;
			this.endSentMillis = newer ? report.atMillis() : this.endSentMillis;
			return newer && update(LimitReport.ENDED, report.atMillis(), nowMillis);
		}
		boolean newer = !this.known || report.atMillis() - MAX_TRANSIT_MILLIS > this.updatedMillis;
		boolean lower = isActive() && report.perSecond() < this.perSecond
				&& report.atMillis() + MAX_TRANSIT_MILLIS > this.updatedMillis;
		return (newer || lower)
				&& update(report.perSecond(), Math.max(report.atMillis(), this.updatedMillis), nowMillis);
	}

	private boolean update(double rate, long atMillis, long nowMillis) {
		boolean changed = this.perSecond != rate;
		this.known = true;
		this.perSecond = rate;
		this.updatedMillis = atMillis;
		this.changedMillis = changed ? nowMillis : this.changedMillis;
		return changed;
	}

	/**
	 * Returns whether a limit is active.
	 * @return true if the server is known to announce one
	 */
	public boolean isActive() {
		return this.known && this.perSecond >= 0;
	}

	/**
	 * Returns the limit.
	 * @return requests per second; {@link LimitReport#ENDED} if none is active
	 */
	public double perSecond() {
		return this.perSecond;
	}

	/**
	 * Returns whether the server ever announced a limit.
	 * @return true if there is a report for peers
	 */
	public boolean isKnown() {
		return this.known;
	}

	/**
	 * Returns when the limit last changed.
	 * @return the time, in milliseconds
	 */
	public long changedMillis() {
		return this.changedMillis;
	}

	/**
	 * Returns the report for peers.
	 * @return the newest known state of the limit
	 */
	public LimitReport report() {
		return new LimitReport(this.perSecond, isActive() ? this.updatedMillis : this.endSentMillis);
	}

}
