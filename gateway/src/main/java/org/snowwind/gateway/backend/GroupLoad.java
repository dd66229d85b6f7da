package org.snowwind.gateway.backend;

import org.snowwind.decide.silence.AttentiveTime;
import org.snowwind.gateway.table.EngineProfile;
import org.snowwind.model.event.Event;
import org.snowwind.model.event.EventLog;

/**
 * The load of a group of ranks and its remaining capacity. Confined to the event loop.
 *
 * <p>
 * A {@link GroupLimit} defines how many requests the group may have. A group whose ranks
 * reject requests, or whose streams all receive no events, is closed. A closed group gets
 * only one request at a time as a probe, until it works again.
 */
public final class GroupLoad {

	/** The placeholder for a server that is in no group. */
	static final GroupLoad NONE = new GroupLoad("", GroupLimit.meanPass(),
			new AttentiveTime(0, AttentiveTime.LONGEST_STEP_MILLIS));

	/** The number of successive rejections, by any ranks, that close a group. */
	private static final int REJECTIONS_TO_CLOSE = 3;

	/**
	 * The time after which a closed group gets a probe, and another one after each
	 * rejection, in milliseconds. A group that lost a rank is formed again within about a
	 * second.
	 */
	private static final long PROBE_DELAY_MILLIS = 250;

	/**
	 * The attentive time without an event on any stream after which a group counts as
	 * stalled, in milliseconds. Each pass produces an event for each stream, and this is
	 * several times the longest pass that is on time.
	 */
	private static final long STALL_MILLIS = 500;

	/**
	 * The attentive time after which another probe may be sent although the last one has
	 * not ended, in milliseconds. A rank that died silently never ends its probe.
	 */
	private static final long PROBE_LAPSE_MILLIS = 1000;

	private final String name;

	private Counts counts = Counts.NONE;

	private int load;

	private final GroupLimit limit;

	private final AttentiveTime attentive;

	private final PassTime passes = new PassTime();

	private int rejections;

	private long closedUntilMillis;

	private boolean closed;

	private boolean probeInFlight;

	/** The attentive time at which the last probe was sent. */
	private long probeAttentiveMillis;

	private int streams;

	private long lastEventMillis;

	/** The attentive time of the last event. */
	private long lastEventAttentiveMillis;

	/**
	 * Creates the load of a group without requests.
	 * @param name the group's name
	 * @param limit how many requests the group may have
	 * @param attentive the time in which this process was able to read events
	 */
	GroupLoad(String name, GroupLimit limit, AttentiveTime attentive) {
		this.name = name;
		this.limit = limit;
		this.attentive = attentive;
	}

	/**
	 * Returns the group's name.
	 * @return the name
	 */
	public String name() {
		return this.name;
	}

	void updateCounts(Counts nowCounts, double unreportedFactor) {
		this.counts = nowCounts.times(unreportedFactor);
		this.load = this.counts.load();
	}

	void sent(long nowMillis) {
		this.load++;
		this.probeInFlight = this.closed;
		this.probeAttentiveMillis = this.attentive.millis(nowMillis);
	}

	void onRequestEnd() {
		this.load--;
		this.probeInFlight = false;
	}

	/**
	 * Returns the known number of requests of the group.
	 * @return a number of requests
	 */
	public int load() {
		return this.load;
	}

	/**
	 * Returns the mean time of a pass.
	 * @return the mean, in milliseconds; 0 before the first observation
	 */
	public double passMillis() {
		return this.passes.millis();
	}

	/**
	 * Returns when passes last became suddenly much longer.
	 * @return the time, in milliseconds; {@link Long#MIN_VALUE} if they never have
	 */
	long lastJumpMillis() {
		return this.passes.lastJumpMillis();
	}

	/**
	 * Records a pause between two events of a stream.
	 * @param pauseMillis the pause, in milliseconds
	 * @param pauseTargetMillis the maximum pause that is on time, in milliseconds
	 * @param profile the performance of the engines
	 * @param nowMillis the time, in milliseconds
	 */
	void onPause(long pauseMillis, long pauseTargetMillis, EngineProfile profile, long nowMillis) {
		onProgress();
		recordEvent(nowMillis);
		// Events that arrived during a pause of this process are read late.
		if (this.attentive.hasPausedSince(nowMillis - pauseMillis, nowMillis)) {
			return;
		}
		boolean jumped = this.passes.observe(pauseMillis, pauseTargetMillis, emptyPassMillis(profile), this.load,
				nowMillis);
		if (jumped) {
			EventLog.log(Event.PASSES_JUMPED, "group", this.name, "pauseMillis", pauseMillis, "meanMillis",
					Math.round(this.passes.millis()), "load", this.load);
		}
	}

	private void recordEvent(long nowMillis) {
		this.lastEventMillis = nowMillis;
		this.lastEventAttentiveMillis = this.attentive.millis(nowMillis);
	}

	private static double emptyPassMillis(EngineProfile profile) {
		return profile.stepsPerPass() * profile.stepMillis();
	}

	/**
	 * Returns the free fraction of the group's limit.
	 * @param requirements the requirements of a request
	 * @param nowMillis the time, in milliseconds
	 * @return the free fraction, 1 for no group, 0 or less for a full or closed one
	 */
	double freeShare(ServerRequirements requirements, long nowMillis) {
		if (this == NONE) {
			return 1;
		}
		closeIfStalled(nowMillis);
		if (!accepts(nowMillis)) {
			return 0;
		}
		double limit = limit(requirements.pauseTargetMillis(), requirements.engine(), nowMillis);
		return 1 - this.load / limit;
	}

	/**
	 * Returns how many requests the group can have while all streams are on time.
	 * @param pauseTargetMillis the maximum pause that is on time, in milliseconds
	 * @param profile the performance of the engines
	 * @param nowMillis the time, in milliseconds
	 * @return a number of requests
	 */
	int limit(long pauseTargetMillis, EngineProfile profile, long nowMillis) {
		int slots = this.counts.usableRanks() * profile.slots() + this.counts.evacuatedLoad();
		GroupLimit.Parameters parameters = new GroupLimit.Parameters(slots, emptyPassMillis(profile),
				pauseTargetMillis);
		return this.limit.limit(this.passes, parameters, nowMillis);
	}

	/**
	 * Records that a rank rejected a request or could not be reached.
	 * @param nowMillis the time, in milliseconds
	 */
	void onRejection(long nowMillis) {
		this.rejections++;
		if (this.closed || this.rejections >= REJECTIONS_TO_CLOSE) {
			close("ranks reject requests", nowMillis);
		}
	}

	/**
	 * Records that a stream has begun.
	 * @param nowMillis the time, in milliseconds
	 */
	void streamBegan(long nowMillis) {
		this.streams++;
		recordEvent(nowMillis);
		onProgress();
	}

	/**
	 * Adds streams that began before their rank was known to be in this group.
	 * @param count the number of streams
	 * @param nowMillis the time, in milliseconds
	 */
	void addStreams(int count, long nowMillis) {
		this.streams += count;
		recordEvent(nowMillis);
	}

	/**
	 * Removes streams that have ended or whose rank has moved to another group.
	 * @param count the number of streams
	 */
	void removeStreams(int count) {
		this.streams -= count;
	}

	private void onProgress() {
		this.rejections = 0;
		this.probeInFlight = false;
		if (this.closed) {
			this.closed = false;
			EventLog.log(Event.GROUP_OPENED, "group", this.name, "load", this.load);
		}
	}

	private void close(String reason, long nowMillis) {
		this.closedUntilMillis = nowMillis + PROBE_DELAY_MILLIS;
		if (!this.closed) {
			this.closed = true;
			EventLog.log(Event.GROUP_CLOSED, "group", this.name, "reason", reason, "refusals", this.rejections,
					"streams", this.streams, "sinceEventMillis", nowMillis - this.lastEventMillis, "attentiveMillis",
					attentiveSinceEventMillis(nowMillis), "load", this.load);
		}
	}

	private void closeIfStalled(long nowMillis) {
		if (!this.closed && this.streams > 0 && attentiveSinceEventMillis(nowMillis) > STALL_MILLIS) {
			close("no events on any stream", nowMillis);
		}
	}

	private long attentiveSinceEventMillis(long nowMillis) {
		return this.attentive.millis(nowMillis) - this.lastEventAttentiveMillis;
	}

	/**
	 * Returns whether the group is closed.
	 * @return true from successive rejections or a stall until a stream begins or has an
	 * event
	 */
	boolean isClosed() {
		return this.closed;
	}

	/**
	 * Returns whether the group may be sent a request.
	 * @param nowMillis the time, in milliseconds
	 * @return true if the group is open, or if it is closed and a probe is due
	 */
	boolean accepts(long nowMillis) {
		return !this.closed || (nowMillis >= this.closedUntilMillis && !awaitsProbe(nowMillis));
	}

	private boolean awaitsProbe(long nowMillis) {
		return this.probeInFlight && this.attentive.millis(nowMillis) - this.probeAttentiveMillis < PROBE_LAPSE_MILLIS;
	}

	/**
	 * The ranks and requests of a group. Requests that still run on evacuated ranks take
	 * part in each pass, but the slots there are not available.
	 *
	 * @param usableRanks the number of ranks that are not evacuated
	 * @param load the number of requests on all ranks
	 * @param evacuatedLoad the number of requests on evacuated ranks
	 */
	record Counts(int usableRanks, int load, int evacuatedLoad) {

		static final Counts NONE = new Counts(0, 0, 0);

		static Counts of(Backend rank) {
			return rank.isEvacuated() ? new Counts(0, rank.load(), rank.load()) : new Counts(1, rank.load(), 0);
		}

		private Counts times(double factor) {
			return new Counts(this.usableRanks, (int) Math.round(factor * this.load),
					(int) Math.round(factor * this.evacuatedLoad));
		}

		Counts plus(Counts other) {
			return new Counts(this.usableRanks + other.usableRanks, this.load + other.load,
					this.evacuatedLoad + other.evacuatedLoad);
		}

	}

}
