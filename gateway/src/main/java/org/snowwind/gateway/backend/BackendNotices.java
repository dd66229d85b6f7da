package org.snowwind.gateway.backend;

import org.snowwind.decide.notice.RampUp;
import org.snowwind.decide.notice.ServerBackoff;
import org.snowwind.decide.notice.ServerNotice;
import org.snowwind.gateway.registry.BackendIncarnation;
import org.snowwind.model.event.Event;
import org.snowwind.model.event.EventLog;

/**
 * The announcements of one incarnation of a server: its rate limit, its backoffs, its
 * cold time and its departure. Confined to the event loop.
 */
public final class BackendNotices {

	/**
	 * The minimum time between two log lines on one server, whose backoff may grow with
	 * each response, in milliseconds.
	 */
	private static final long LOG_PERIOD_MILLIS = 1000;

	private final BackendIncarnation run;

	private final BackendLimit limit;

	private final BackendCold cold;

	private final ServerBackoff backoff = new ServerBackoff();

	private boolean leaving;

	private boolean backoffLogged;

	private boolean unreadableLogged;

	private long nextLogMillis = Long.MIN_VALUE;

	/**
	 * Creates the state of a server that has announced nothing.
	 * @param run the server's incarnation
	 */
	BackendNotices(BackendIncarnation run) {
		this(run, ColdServers.unprotected());
	}

	/**
	 * Creates the state of a server that has announced nothing.
	 * @param run the server's incarnation
	 * @param coldServers what cold servers have in common
	 */
	BackendNotices(BackendIncarnation run, ColdServers coldServers) {
		this.run = run;
		this.limit = new BackendLimit(run);
		this.cold = new BackendCold(run, coldServers);
	}

	/**
	 * Records the head of a response of this incarnation.
	 * @param notice what the head announces
	 * @param source the response
	 * @param pace how this process returns after a backoff
	 * @param nowMillis the time, in milliseconds
	 */
	void onResponseHead(ServerNotice notice, Source source, RampUp pace, long nowMillis) {
		this.limit.onResponseHead(notice.limit(), source.signed(), source.sentMillis(), nowMillis);
		this.cold.onColdTime(notice.coldMillis(), nowMillis);
		if (notice.retryAfterMillis() > 0) {
			onRetryAfter(notice.retryAfterMillis(), source, pace, nowMillis);
		}
		if (notice.leaving()) {
			onLeaving("response to " + source.request());
		}
		if (!notice.unreadable().isEmpty() && !this.unreadableLogged) {
			this.unreadableLogged = true;
			EventLog.log(Event.SERVER_NOTICE_UNREADABLE, "server", this.run.id(), "text", notice.unreadable());
		}
	}

	private void onRetryAfter(long retryAfterMillis, Source source, RampUp pace, long nowMillis) {
		boolean wasActive = this.backoff.isActive(nowMillis);
		boolean later = this.backoff.recordRetryAfter(retryAfterMillis, pace, nowMillis);
		if (later && (!wasActive || nowMillis >= this.nextLogMillis)) {
			this.nextLogMillis = nowMillis + LOG_PERIOD_MILLIS;
			this.backoffLogged = true;
			EventLog.log(Event.SERVER_BACKOFF_STARTED, "server", this.run.id(), "bornMillis", this.run.bornMillis(),
					"retryAfterMillis", retryAfterMillis, "untilMillis", this.backoff.untilMillis(), "lengthened",
					wasActive, "spreadMillis", pace.spreadMillis(), "offsetMillis", pace.offsetMillis(), "source",
					source.request(), "requestAgeMillis", nowMillis - source.sentMillis());
		}
	}

	/**
	 * Records that the server accepts no new work, whatever its registry entry says.
	 * @param source the source of this information
	 */
	void onLeaving(String source) {
		if (!this.leaving) {
			this.leaving = true;
			EventLog.log(Event.SERVER_DRAINING, "server", this.run.id(), "bornMillis", this.run.bornMillis(), "source",
					source);
		}
	}

	/**
	 * Records a request that is sent to the server.
	 * @param nowMillis the time, in milliseconds
	 */
	void sent(long nowMillis) {
		this.limit.sent(nowMillis);
		this.cold.sent(nowMillis);
		this.backoff.recordSent(nowMillis);
		if (this.backoffLogged) {
			this.backoffLogged = false;
			EventLog.log(Event.SERVER_BACKOFF_ENDED, "server", this.run.id(), "bornMillis", this.run.bornMillis(),
					"startMillis", this.backoff.startMillis(), "untilMillis", this.backoff.untilMillis(), "lateMillis",
					nowMillis - this.backoff.untilMillis());
		}
	}

	/**
	 * Returns whether the rate limit, the backoff and the cold time of the server allow a
	 * request.
	 * @param nowMillis the time, in milliseconds
	 * @return false while the server backs off, or while its limit is active or it is
	 * cold and the share of this process allows no request
	 */
	boolean admits(long nowMillis) {
		return this.backoff.admits(nowMillis) && this.limit.allows(nowMillis) && this.cold.admits(nowMillis);
	}

	/**
	 * Returns the limit that the server sets on its total request rate.
	 * @return the limit as known to this process
	 */
	public BackendLimit limit() {
		return this.limit;
	}

	/**
	 * Returns the cold time of the server.
	 * @return the cold time as known to this process
	 */
	BackendCold cold() {
		return this.cold;
	}

	/**
	 * Returns the backoff that the server requested from this gateway.
	 * @return the backoff
	 */
	public ServerBackoff backoff() {
		return this.backoff;
	}

	/**
	 * Returns whether the server has announced that it is leaving.
	 * @return true from its announcement on
	 */
	public boolean isLeaving() {
		return this.leaving;
	}

	/**
	 * The response that contains a notice.
	 *
	 * @param request the id of the request, or the kind of the call
	 * @param signed whether the response carries the server's signature
	 * @param sentMillis when the request was sent, in milliseconds
	 */
	public record Source(String request, boolean signed, long sentMillis) {

	}

}
