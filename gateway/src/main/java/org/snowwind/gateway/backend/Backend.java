package org.snowwind.gateway.backend;

import org.snowwind.decide.choice.CircuitBreaker;
import org.snowwind.decide.choice.SlowStart;
import org.snowwind.decide.notice.RampUp;
import org.snowwind.decide.notice.ServerNotice;
import org.snowwind.decide.silence.ServerSilence;
import org.snowwind.gateway.registry.BackendEntry;
import org.snowwind.gateway.table.EngineProfile;
import org.snowwind.model.event.Event;
import org.snowwind.model.event.EventLog;

/**
 * One incarnation of a backend server as known to this process. Confined to the event
 * loop.
 */
public final class Backend {

	/** The weight of a new answer in the moving average of answer times. */
	private static final double ANSWER_WEIGHT = 0.2;

	/** The weight of a new outcome in the failure rate, a moving average. */
	private static final double FAILURE_WEIGHT = 0.2;

	/** The time in which the failure rate halves without requests, in milliseconds. */
	private static final double FAILURE_HALF_LIFE_MILLIS = 3000;

	private static final double PERCENT = 100;

	/**
	 * Two failures in a row eject a server for half a second, since a server that crashed
	 * is down for seconds. After an ejection its share of the requests rises back to the
	 * full share within a second.
	 */
	private static final CircuitBreaker.BreakerSettings EJECTION = new CircuitBreaker.BreakerSettings(2, 500, 1000,
			0.3);

	/**
	 * The silence after which a server with requests counts as silent, in milliseconds:
	 * several times the longest pause between events that is on time.
	 */
	private static final long SILENT_MILLIS = 500;

	/** A server that does not stream is silent while it works. */
	private static final double SILENT_ANSWER_TIMES = 2;

	private final CircuitBreaker breaker = new CircuitBreaker(EJECTION);

	private final BackendNotices notices;

	private BackendEntry entry;

	private boolean removed;

	private boolean ejected;

	private boolean evacuated;

	private SlowStart returning = SlowStart.NONE;

	private GroupLoad group;

	private int inFlight;

	private int streams;

	private int peersInFlight;

	private long heldTokens;

	private double answerMillis;

	private double failureRate;

	private long failureMillis;

	private final ServerSilence silence = new ServerSilence();

	Backend(BackendEntry entry, BackendNotices notices) {
		this.entry = entry;
		this.notices = notices;
	}

	/**
	 * Returns the announcements of this incarnation.
	 * @return its notices
	 */
	public BackendNotices notices() {
		return this.notices;
	}

	/**
	 * Returns the limit that the server sets on its total request rate.
	 * @return the limit as known to this process
	 */
	public BackendLimit limit() {
		return this.notices.limit();
	}

	/**
	 * Records the head of a response of this incarnation.
	 * @param notice what the head announces
	 * @param source the response
	 * @param pace how this process returns after a backoff
	 * @param nowMillis the time, in milliseconds
	 */
	void onResponseHead(ServerNotice notice, BackendNotices.Source source, RampUp pace, long nowMillis) {
		this.notices.onResponseHead(notice, source, pace, nowMillis);
	}

	/**
	 * Returns the id of the server.
	 * @return the id
	 */
	public String id() {
		return this.entry.id();
	}

	/**
	 * Returns the server's entry in the registry.
	 * @return the entry
	 */
	public BackendEntry entry() {
		return this.entry;
	}

	void entry(BackendEntry next) {
		this.entry = next;
	}

	void remove() {
		this.removed = true;
	}

	/**
	 * Records that another server answers at the address of this one.
	 */
	public void onReplaced() {
		this.notices.onLeaving("rejection by another server at its address");
	}

	/**
	 * Returns whether the server is in service, also if it must get no new work now.
	 * @return false if it is leaving or its entry was removed
	 */
	public boolean isInService() {
		return !this.removed && !this.notices.isLeaving() && !this.entry.draining();
	}

	/**
	 * Returns whether the server may be sent new work.
	 * @return false if it is leaving, its entry was removed or its data centre is
	 * evacuated
	 */
	public boolean takesNewWork() {
		return isInService() && !this.evacuated;
	}

	boolean isEvacuated() {
		return this.evacuated;
	}

	/**
	 * Records whether the data centre of the server is evacuated.
	 * @param nowEvacuated whether it is
	 * @param returnMillis how long the share of new requests rises after an evacuation,
	 * in milliseconds
	 * @param nowMillis the time, in milliseconds
	 */
	void evacuated(boolean nowEvacuated, long returnMillis, long nowMillis) {
		if (this.evacuated && !nowEvacuated) {
			this.returning = new SlowStart(nowMillis, returnMillis);
		}
		this.evacuated = nowEvacuated;
	}

	/**
	 * Returns whether a request may be sent to the server. This is checked right before
	 * each send: of first attempts, retries, resumed streams and requests that waited.
	 * @param nowMillis the time, in milliseconds
	 * @return false if the server is removed or an announcement of it forbids the request
	 */
	public boolean admits(long nowMillis) {
		return takesNewWork() && this.notices.admits(nowMillis);
	}

	/**
	 * Returns whether the outcomes of recent requests allow new work.
	 * @param nowMillis the time, in milliseconds
	 * @return false while the server is ejected
	 */
	public boolean isTrusted(long nowMillis) {
		return this.breaker.allows(nowMillis);
	}

	/**
	 * Returns the known number of requests at the server.
	 * @return the requests of this process and those that peers have reported
	 */
	public int load() {
		return this.inFlight + this.peersInFlight;
	}

	/**
	 * Returns the number of requests of this process at the server.
	 * @return a number of requests
	 */
	public int inFlight() {
		return this.inFlight;
	}

	int peersInFlight() {
		return this.peersInFlight;
	}

	/**
	 * Returns the sizes of the requests of this process at the server.
	 * @return the sum, in tokens
	 */
	public long heldTokens() {
		return this.heldTokens;
	}

	/**
	 * Records that a request of this process is sent to the server or has ended there.
	 * @param tokens the size of the request, in tokens; negative if it has ended
	 */
	public void addHeldTokens(long tokens) {
		this.heldTokens += tokens;
	}

	void peersInFlight(int requests) {
		this.peersInFlight = requests;
	}

	/**
	 * Returns the group of which the server is a rank.
	 * @return the group, {@code null} if the server is in no group or its group is
	 * unknown
	 */
	public GroupLoad group() {
		return this.group;
	}

	void group(GroupLoad next, long nowMillis) {
		if (this.group == next) {
			return;
		}
		if (this.group != null) {
			this.group.removeStreams(this.streams);
		}
		this.group = next;
		next.addStreams(this.streams, nowMillis);
	}

	/**
	 * Records that the server has sent something.
	 * @param attentiveMillis the time during which this process could observe servers, in
	 * milliseconds
	 */
	public void onHeard(long attentiveMillis) {
		this.silence.onHeard(attentiveMillis);
	}

	/**
	 * Records that a request is about to be sent, from when on silence is measured.
	 * @param attentiveMillis the time during which this process could observe servers, in
	 * milliseconds
	 */
	public void onSending(long attentiveMillis) {
		if (this.inFlight == 0) {
			this.silence.onBusy(attentiveMillis);
		}
	}

	/**
	 * Returns whether the server has requests of this process and has sent nothing for
	 * longer than a server that works normally.
	 * @param attentiveMillis the time during which this process could observe servers, in
	 * milliseconds
	 * @return false if it has no requests of this process
	 */
	boolean isSilent(long attentiveMillis) {
		return this.inFlight > 0 && this.silence.exceeds(attentiveMillis, longestSilenceMillis());
	}

	/**
	 * Returns whether the server has begun streams and is silent. A server that only
	 * works on plain requests sends nothing meanwhile.
	 * @param attentiveMillis the time during which this process could observe servers, in
	 * milliseconds
	 * @return true if all its streams pause
	 */
	boolean isStalled(long attentiveMillis) {
		return this.streams > 0 && isSilent(attentiveMillis);
	}

	/**
	 * Returns whether the server has sent something lately.
	 * @param attentiveMillis the time during which this process could observe servers, in
	 * milliseconds
	 * @return false if it has not within the time after which it would count as silent
	 */
	boolean isHeard(long attentiveMillis) {
		return this.silence.wasHeard(attentiveMillis, SILENT_MILLIS);
	}

	private long longestSilenceMillis() {
		return (this.streams > 0) ? SILENT_MILLIS
				: Math.max(SILENT_MILLIS, Math.round(SILENT_ANSWER_TIMES * this.answerMillis));
	}

	/**
	 * Records a request that is sent to the server.
	 * @param nowMillis the time, in milliseconds
	 */
	public void onSent(long nowMillis) {
		this.notices.sent(nowMillis);
		this.inFlight++;
		this.breaker.recordSent();
		if (this.group != null) {
			this.group.sent(nowMillis);
		}
	}

	private void onRequestEnd() {
		this.inFlight--;
		if (this.group != null) {
			this.group.onRequestEnd();
		}
	}

	/**
	 * Records that a stream has begun.
	 * @param nowMillis the time, in milliseconds
	 */
	public void onStreamStart(long nowMillis) {
		this.streams++;
		if (this.group != null) {
			this.group.streamBegan(nowMillis);
		}
	}

	/**
	 * Records that a stream that had begun has ended.
	 */
	public void onStreamEnd() {
		this.streams--;
		if (this.group != null) {
			this.group.removeStreams(1);
		}
	}

	/**
	 * Records a pause between two events of a stream.
	 * @param pauseMillis the pause, in milliseconds
	 * @param pauseTargetMillis the maximum pause that is on time, in milliseconds
	 * @param profile the performance of the engines
	 * @param nowMillis the time, in milliseconds
	 */
	public void onPause(long pauseMillis, long pauseTargetMillis, EngineProfile profile, long nowMillis) {
		if (this.group != null && profile != null) {
			this.group.onPause(pauseMillis, pauseTargetMillis, profile, nowMillis);
		}
	}

	/**
	 * Records that a request was answered.
	 * @param tookMillis how long the answer took, in milliseconds
	 * @param nowMillis the time, in milliseconds
	 */
	public void onAnswer(long tookMillis, long nowMillis) {
		onRequestEnd();
		this.breaker.recordSuccess(nowMillis);
		if (this.ejected) {
			this.ejected = false;
			EventLog.log(Event.SERVER_RETURNED, "server", id());
		}
		this.answerMillis += ((this.answerMillis == 0) ? 1 : ANSWER_WEIGHT) * (tookMillis - this.answerMillis);
		recordOutcome(0, nowMillis);
	}

	/**
	 * Records a failed request that counts as a failure of the server.
	 * @param nowMillis the time, in milliseconds
	 */
	public void onFailure(long nowMillis) {
		onRequestEnd();
		this.breaker.recordFailure(nowMillis);
		recordOutcome(1, nowMillis);
		if (!this.ejected && !this.breaker.allows(nowMillis)) {
			this.ejected = true;
			EventLog.log(Event.SERVER_EJECTED, "server", id(), "failureRate", Math.round(PERCENT * this.failureRate));
		}
	}

	/**
	 * Records that the server could not be reached. Its group can make no pass without
	 * it.
	 * @param nowMillis the time, in milliseconds
	 */
	public void onUnreachable(long nowMillis) {
		onFailure(nowMillis);
		if (this.group != null) {
			this.group.onRejection(nowMillis);
		}
	}

	/**
	 * Records that a request ended without evidence for or against the server.
	 */
	public void onInconclusiveEnd() {
		onRequestEnd();
		this.breaker.recordWithdrawn();
	}

	/**
	 * Records that the server rejected a request and certainly did not run it. If the
	 * server has announced a limit or a backoff, the rejection says nothing about its
	 * group.
	 * @param nowMillis the time, in milliseconds
	 */
	public void onRejection(long nowMillis) {
		onInconclusiveEnd();
		boolean hasAnnouncedReason = limit().known().isActive() || this.notices.backoff().isActive(nowMillis);
		if (this.group != null && !hasAnnouncedReason) {
			this.group.onRejection(nowMillis);
		}
	}

	private void recordOutcome(double failure, long nowMillis) {
		this.failureRate = failureRate(nowMillis);
		this.failureRate += FAILURE_WEIGHT * (failure - this.failureRate);
		this.failureMillis = nowMillis;
	}

	private double failureRate(long nowMillis) {
		return this.failureRate * Math.pow(0.5, (nowMillis - this.failureMillis) / FAILURE_HALF_LIFE_MILLIS);
	}

	/**
	 * Returns the properties of the server that the choice of a server depends on.
	 * @param nowMillis the time, in milliseconds
	 * @return a snapshot of the properties
	 */
	public BackendView view(long nowMillis) {
		return new BackendView(id(), load(), this.entry.slots(), this.answerMillis, failureRate(nowMillis),
				this.breaker.slowStartFactor(nowMillis) * this.returning.factor(nowMillis));
	}

}
