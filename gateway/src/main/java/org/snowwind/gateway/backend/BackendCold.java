package org.snowwind.gateway.backend;

import java.util.Optional;

import org.snowwind.decide.limit.ColdShare;
import org.snowwind.decide.limit.SendWindow;
import org.snowwind.gateway.registry.BackendEntry;
import org.snowwind.gateway.registry.BackendIncarnation;
import org.snowwind.model.event.Event;
import org.snowwind.model.event.EventLog;

/**
 * For how long one incarnation of a server is cold, and what this gateway may send it
 * meanwhile. Confined to the event loop.
 *
 * <p>
 * Handles servers that return empty and cold under full load. The bound on their requests
 * comes from {@link ColdShare}.
 */
final class BackendCold {

	/** The minimum time between two log lines on one server, in milliseconds. */
	private static final long LOG_PERIOD_MILLIS = 1000;

	private final BackendIncarnation run;

	private final ColdServers servers;

	private final SendWindow sends = new SendWindow();

	private String service = "";

	private long lastColdMillis;

	private long lastSequence;

	private long beganMillis;

	private long untilMillis = Long.MIN_VALUE;

	private ColdShare.Fleet sharedFleet;

	private double sharedBound;

	private int share;

	private boolean logged;

	private long nextLogMillis = Long.MIN_VALUE;

	private int sent;

	private int withheld;

	BackendCold(BackendIncarnation run, ColdServers servers) {
		this.run = run;
		this.servers = servers;
	}

	/**
	 * Applies the registry entry of the server. An entry that was applied before changes
	 * nothing.
	 * @param entry the entry
	 * @param nowMillis the time, in milliseconds
	 */
	void onEntry(BackendEntry entry, long nowMillis) {
		this.service = entry.service();
		boolean known = entry.coldMillis() == this.lastColdMillis && entry.coldSequence() == this.lastSequence;
		this.lastColdMillis = entry.coldMillis();
		this.lastSequence = entry.coldSequence();
		if (!known) {
			onColdTime(entry.coldMillis(), nowMillis);
		}
	}

	/**
	 * Records for how long the server stays cold. Messages overtake each other, so a
	 * shorter time does not end an earlier one.
	 * @param coldMillis the time, in milliseconds; 0 if the server names none
	 * @param nowMillis the time, in milliseconds
	 */
	void onColdTime(long coldMillis, long nowMillis) {
		if (coldMillis <= 0) {
			return;
		}
		if (!isCold(nowMillis)) {
			this.beganMillis = nowMillis;
		}
		this.untilMillis = Math.max(this.untilMillis, nowMillis + coldMillis);
	}

	private boolean isCold(long nowMillis) {
		return nowMillis < this.untilMillis;
	}

	private boolean isProtected(long nowMillis) {
		return isCold(nowMillis) && this.servers.boundRequests(this.service) > 0;
	}

	/**
	 * Records a request that is sent to the server, cold or not: the server may turn cold
	 * within the same second.
	 * @param nowMillis the time, in milliseconds
	 */
	void sent(long nowMillis) {
		if (this.servers.boundRequests(this.service) > 0) {
			this.sends.record(nowMillis);
			this.sent++;
		}
	}

	/**
	 * Returns whether a request may be sent to the server.
	 * @param nowMillis the time, in milliseconds
	 * @return false while the server is cold and this gateway has sent its share
	 */
	boolean admits(long nowMillis) {
		if (!isProtected(nowMillis)) {
			return true;
		}
		boolean admitted = this.sends.count(nowMillis) < share(nowMillis);
		if (!admitted) {
			this.withheld++;
			this.servers.recordWithheld();
		}
		return admitted;
	}

	private int share(long nowMillis) {
		Optional<ColdShare.Fleet> fleet = this.servers.fleet(nowMillis);
		if (fleet.isEmpty()) {
			return 0;
		}
		double bound = this.servers.boundRequests(this.service);
		if (!fleet.get().equals(this.sharedFleet) || bound != this.sharedBound) {
			this.sharedFleet = fleet.get();
			this.sharedBound = bound;
			this.share = ColdShare.requests(bound, this.sharedFleet, this.run.id());
		}
		return this.share;
	}

	/**
	 * Logs changes. This must be called several times a second.
	 * @param nowMillis the time, in milliseconds
	 * @return whether the server is protected since it is cold
	 */
	boolean refresh(long nowMillis) {
		boolean cold = isProtected(nowMillis);
		if (cold && !this.logged && nowMillis >= this.nextLogMillis) {
			this.logged = true;
			this.nextLogMillis = nowMillis + LOG_PERIOD_MILLIS;
			this.sent = 0;
			this.withheld = 0;
			EventLog.log(Event.SERVER_COLD, "server", this.run.id(), "bornMillis", this.run.bornMillis(), "service",
					this.service, "leftMillis", this.untilMillis - nowMillis, "boundRequests",
					this.servers.boundRequests(this.service), "shareRequests", share(nowMillis), "gateways",
					this.servers.fleet(nowMillis).map(ColdShare.Fleet::size).orElse(0), "sentBefore",
					this.sends.count(nowMillis));
		}
		if (!cold && this.logged) {
			this.logged = false;
			EventLog.log(Event.SERVER_WARM, "server", this.run.id(), "bornMillis", this.run.bornMillis(), "coldMillis",
					this.untilMillis - this.beganMillis, "sent", this.sent, "withheld", this.withheld);
		}
		return cold;
	}

}
