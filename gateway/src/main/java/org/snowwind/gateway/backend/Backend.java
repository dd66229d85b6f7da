package org.snowwind.gateway.backend;

import org.snowwind.decide.choice.Breaker;
import org.snowwind.decide.notice.ReturnPace;
import org.snowwind.decide.notice.ServerNotice;
import org.snowwind.gateway.registry.BackendEntry;
import org.snowwind.gateway.table.EngineProfile;
import org.snowwind.model.event.Event;
import org.snowwind.model.event.EventLog;

/**
 * One run of a backend server as this process sees it. Confined to the loop.
 */
public final class Backend {

	/** The part of a new answer in the mean of answer times. */
	private static final double ANSWER_SHARE = 0.2;

	/** The part of a new outcome in the failure rate. */
	private static final double FAILURE_SHARE = 0.2;

	/** Within this time a failure rate halves if nothing is sent, in milliseconds. */
	private static final double FAILURE_HALF_LIFE_MILLIS = 3000;

	private static final double PERCENT = 100;

	/**
	 * Two failures in a row eject a server for half a second, since a server that crashed
	 * is gone for seconds; it comes back within a second.
	 */
	private static final Breaker.BreakerSettings EJECTION = new Breaker.BreakerSettings(2, 500, 1000, 0.3);

	private final Breaker breaker = new Breaker(EJECTION);

	private final BackendNotices notices;

	private BackendEntry entry;

	private boolean gone;

	private boolean ejected;

	private GroupLoad group;

	private int inFlight;

	private int streams;

	private int peersInFlight;

	private double answerMillis;

	private double failureRate;

	private long failureMillis;

	Backend(BackendEntry entry, BackendNotices notices) {
		this.entry = entry;
		this.notices = notices;
	}

	/**
	 * Returns what this incarnation has announced.
	 * @return its notices
	 */
	public BackendNotices notices() {
		return this.notices;
	}

	/**
	 * Returns the rate that the server takes from all gateways together.
	 * @return what is known of it
	 */
	public BackendLimit limit() {
		return this.notices.limit();
	}

	/**
	 * Records the head of a response of this incarnation.
	 * @param notice what it says
	 * @param source the response
	 * @param pace how this process returns after a backoff
	 * @param nowMillis the time, in milliseconds
	 */
	void onResponseHead(ServerNotice notice, BackendNotices.Source source, ReturnPace pace, long nowMillis) {
		this.notices.onResponseHead(notice, source, pace, nowMillis);
	}

	/**
	 * Returns the id of this run.
	 * @return the id
	 */
	public String id() {
		return this.entry.id();
	}

	/**
	 * Returns what the server has registered.
	 * @return the entry
	 */
	public BackendEntry entry() {
		return this.entry;
	}

	void entry(BackendEntry next) {
		this.entry = next;
	}

	void remove() {
		this.gone = true;
	}

	/**
	 * Records that another server answers at its address.
	 */
	public void replaced() {
		this.notices.onLeaving("refusal of another server at its address");
	}

	/**
	 * Tells whether the server may be sent new work.
	 * @return false if it is leaving or gone
	 */
	public boolean takesNewWork() {
		return !this.gone && !this.notices.isLeaving() && !this.entry.draining();
	}

	/**
	 * The gate that each request passes right before it is sent: first ones, retries,
	 * streams that are resumed, and those that have waited.
	 * @param nowMillis the time, in milliseconds
	 * @return whether nothing that the server has announced forbids it
	 */
	public boolean admits(long nowMillis) {
		return takesNewWork() && this.notices.admits(nowMillis);
	}

	/**
	 * Tells whether its recent answers allow it new work.
	 * @param nowMillis the time, in milliseconds
	 * @return false while it is ejected
	 */
	public boolean trusted(long nowMillis) {
		return this.breaker.allows(nowMillis);
	}

	/**
	 * Counts the requests that it has, as far as is known.
	 * @return those of this process and those that peers have told of
	 */
	public int load() {
		return this.inFlight + this.peersInFlight;
	}

	/**
	 * Counts the requests that this process has there.
	 * @return a number of requests
	 */
	public int inFlight() {
		return this.inFlight;
	}

	void peersInFlight(int requests) {
		this.peersInFlight = requests;
	}

	/**
	 * Returns the group of which it is a rank.
	 * @return the group, {@code null} if it is in none or that is not known
	 */
	public GroupLoad group() {
		return this.group;
	}

	void group(GroupLoad next, long nowMillis) {
		if (this.group == next) {
			return;
		}
		if (this.group != null) {
			this.group.streamsLeft(this.streams);
		}
		this.group = next;
		next.streamsJoined(this.streams, nowMillis);
	}

	/**
	 * Takes note of a request that is sent there.
	 * @param nowMillis the time, in milliseconds
	 */
	public void sent(long nowMillis) {
		this.notices.sent(nowMillis);
		this.inFlight++;
		this.breaker.sent();
		if (this.group != null) {
			this.group.sent();
		}
	}

	private void ended() {
		this.inFlight--;
		if (this.group != null) {
			this.group.ended();
		}
	}

	/**
	 * Takes note that a stream has begun.
	 * @param nowMillis the time, in milliseconds
	 */
	public void streamBegan(long nowMillis) {
		this.streams++;
		if (this.group != null) {
			this.group.streamBegan(nowMillis);
		}
	}

	/**
	 * Takes note that a stream that had begun has ended.
	 */
	public void streamEnded() {
		this.streams--;
		if (this.group != null) {
			this.group.streamsLeft(1);
		}
	}

	/**
	 * Takes note of a pause between two events of a stream.
	 * @param pauseMillis the pause, in milliseconds
	 * @param pauseTargetMillis the longest pause on time, in milliseconds
	 * @param profile how fast the engines are
	 * @param nowMillis the time, in milliseconds
	 */
	public void paused(long pauseMillis, long pauseTargetMillis, EngineProfile profile, long nowMillis) {
		if (this.group != null && profile != null) {
			this.group.paused(pauseMillis, pauseTargetMillis, profile, nowMillis);
		}
	}

	/**
	 * Takes note that a request was answered.
	 * @param tookMillis how long the answer took, in milliseconds
	 * @param nowMillis the time, in milliseconds
	 */
	public void answered(long tookMillis, long nowMillis) {
		ended();
		this.breaker.succeeded(nowMillis);
		if (this.ejected) {
			this.ejected = false;
			EventLog.log(Event.SERVER_RETURNED, "server", id());
		}
		this.answerMillis += ((this.answerMillis == 0) ? 1 : ANSWER_SHARE) * (tookMillis - this.answerMillis);
		noteOutcome(0, nowMillis);
	}

	/**
	 * Takes note that a request failed in a way that speaks against the server.
	 * @param nowMillis the time, in milliseconds
	 */
	public void failed(long nowMillis) {
		ended();
		this.breaker.failed(nowMillis);
		noteOutcome(1, nowMillis);
		if (!this.ejected && !this.breaker.allows(nowMillis)) {
			this.ejected = true;
			EventLog.log(Event.SERVER_EJECTED, "server", id(), "failureRate", Math.round(PERCENT * this.failureRate));
		}
	}

	/**
	 * Takes note that the server could not be reached. Its group can make no pass then.
	 * @param nowMillis the time, in milliseconds
	 */
	public void unreachable(long nowMillis) {
		failed(nowMillis);
		if (this.group != null) {
			this.group.refused(nowMillis);
		}
	}

	/**
	 * Takes note that a request ended in a way that says nothing of the server.
	 */
	public void withdrawn() {
		ended();
		this.breaker.withdrawn();
	}

	/**
	 * Records that it rejected a request, which it surely has not run. A server that has
	 * announced a limit or a backoff speaks for itself and not for its group.
	 * @param nowMillis the time, in milliseconds
	 */
	public void refused(long nowMillis) {
		withdrawn();
		boolean speaksForItself = limit().known().stands() || this.notices.backoff().isActive(nowMillis);
		if (this.group != null && !speaksForItself) {
			this.group.refused(nowMillis);
		}
	}

	private void noteOutcome(double failure, long nowMillis) {
		this.failureRate = failureRate(nowMillis);
		this.failureRate += FAILURE_SHARE * (failure - this.failureRate);
		this.failureMillis = nowMillis;
	}

	private double failureRate(long nowMillis) {
		return this.failureRate * Math.pow(0.5, (nowMillis - this.failureMillis) / FAILURE_HALF_LIFE_MILLIS);
	}

	/**
	 * Returns what is known of the server when one is chosen.
	 * @param nowMillis the time, in milliseconds
	 * @return a view as of now
	 */
	public BackendView view(long nowMillis) {
		return new BackendView(id(), load(), this.entry.slots(), this.answerMillis, failureRate(nowMillis),
				this.breaker.startFactor(nowMillis));
	}

}
