package org.snowwind.gateway.backend;

import org.snowwind.decide.limit.AnnouncedLimit;
import org.snowwind.decide.limit.GrantedRate;
import org.snowwind.decide.limit.LimitReport;
import org.snowwind.decide.limit.RateGrant;
import org.snowwind.decide.limit.ServerLimit;
import org.snowwind.gateway.registry.BackendIncarnation;
import org.snowwind.model.event.Event;
import org.snowwind.model.event.EventLog;

/**
 * The limit that one incarnation of a server sets on its total request rate from all
 * gateways, as known to this process. Confined to the event loop.
 */
public final class BackendLimit {

	/**
	 * The minimum time between two log lines on one server, which may announce a new rate
	 * with each response, in milliseconds.
	 */
	private static final long LOG_PERIOD_MILLIS = 1000;

	private static final String OWN_RESPONSE = "answer";

	private static final String PEER = "peer";

	private final BackendIncarnation run;

	private final ServerLimit known = new ServerLimit();

	private final GrantedRate granted = new GrantedRate();

	private long nextLogMillis = Long.MIN_VALUE;

	private long nextGrantLogMillis = Long.MIN_VALUE;

	private boolean holdsShare;

	private boolean unreadableLogged;

	/**
	 * Creates the state of a server that has announced no limit.
	 * @param run the incarnation of the server
	 */
	BackendLimit(BackendIncarnation run) {
		this.run = run;
	}

	/**
	 * Records the head of a response. A response without the server's signature can
	 * announce a limit but cannot end one.
	 * @param limit the limit that the head announces
	 * @param signed whether the response carries the server's signature
	 * @param sentMillis when the request was sent, in milliseconds
	 * @param nowMillis the time, in milliseconds
	 */
	public void onResponseHead(AnnouncedLimit limit, boolean signed, long sentMillis, long nowMillis) {
		double before = this.known.perSecond();
		if (limit instanceof AnnouncedLimit.Rate rate) {
			logChange(this.known.onAnnouncement(rate.perSecond(), sentMillis, nowMillis), before, OWN_RESPONSE,
					nowMillis);
		}
		else if (limit instanceof AnnouncedLimit.Unreadable unreadable) {
			logUnreadable(unreadable);
		}
		else if (signed) {
			logChange(this.known.onNoAnnouncement(sentMillis, nowMillis), before, OWN_RESPONSE, nowMillis);
		}
	}

	/**
	 * Records an announcement of the server that a peer has received.
	 * @param announcement the announcement, with times by the local clock
	 * @param nowMillis the time, in milliseconds
	 */
	public void onPeerAnnouncement(LimitReport announcement, long nowMillis) {
		double before = this.known.perSecond();
		logChange(this.known.onPeerReport(announcement, nowMillis), before, PEER, nowMillis);
	}

	private void logUnreadable(AnnouncedLimit.Unreadable unreadable) {
		if (!this.unreadableLogged) {
			this.unreadableLogged = true;
			EventLog.log(Event.SERVER_LIMIT_UNREADABLE, "server", this.run.id(), "text", unreadable.text());
		}
	}

	private void logChange(boolean changed, double before, String source, long nowMillis) {
		if (!changed || nowMillis < this.nextLogMillis) {
			return;
		}
		this.nextLogMillis = nowMillis + LOG_PERIOD_MILLIS;
		Event event = this.known.isActive() ? Event.SERVER_LIMIT_NAMED : Event.SERVER_LIMIT_ENDED;
		EventLog.log(event, "server", this.run.id(), "bornMillis", this.run.bornMillis(), "perSecond",
				this.known.perSecond(), "before", before, "source", source, "ageMillis",
				nowMillis - this.known.report().atMillis());
	}

	/**
	 * Returns whether a request may be sent to the server. While a limit is active, only
	 * a process with a granted share of the rate may send, since no process alone knows
	 * the total rate.
	 * @param nowMillis the time, in milliseconds
	 * @return true if no limit is active or the share of this process allows a request
	 */
	boolean allows(long nowMillis) {
		return !this.known.isActive() || this.granted.allows(this.known.perSecond(), nowMillis);
	}

	/**
	 * Records a request that is sent to the server.
	 * @param nowMillis the time, in milliseconds
	 */
	void sent(long nowMillis) {
		if (this.known.isActive()) {
			this.granted.recordSent(this.known.perSecond(), nowMillis);
		}
	}

	/**
	 * Applies a granted share of the rate.
	 * @param grant the share
	 * @param askedMillis when the share was requested, in milliseconds
	 * @param nowMillis the time, in milliseconds
	 */
	void applyGrant(RateGrant grant, long askedMillis, long nowMillis) {
		this.granted.apply(grant, askedMillis, this.known.perSecond(), nowMillis);
		boolean holdsNow = grant.perSecond() > 0;
		if (holdsNow != this.holdsShare && nowMillis >= this.nextGrantLogMillis) {
			this.holdsShare = holdsNow;
			this.nextGrantLogMillis = nowMillis + LOG_PERIOD_MILLIS;
			EventLog.log(Event.LIMIT_PART_CHANGED, "server", this.run.id(), "limitPerSecond", this.known.perSecond(),
					"grantedPerSecond", grant.perSecond(), "validMillis", grant.validMillis(), "askedMillisAgo",
					nowMillis - askedMillis);
		}
	}

	/**
	 * Returns the share of the rate that this process holds.
	 * @param nowMillis the time, in milliseconds
	 * @return requests per second, 0 for none
	 */
	double grantedPerSecond(long nowMillis) {
		return this.granted.perSecond(nowMillis);
	}

	/**
	 * Returns the rate at which this process can expect to send requests to the server.
	 * @param nowMillis the time, in milliseconds
	 * @return requests per second; {@link Double#POSITIVE_INFINITY} if no limit is active
	 */
	double expectedPerSecond(long nowMillis) {
		return this.known.isActive() ? this.granted.expectedPerSecond(nowMillis) : Double.POSITIVE_INFINITY;
	}

	/**
	 * Returns the limit as known to this process.
	 * @return the limit
	 */
	public ServerLimit known() {
		return this.known;
	}

}
