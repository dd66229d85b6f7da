package org.snowwind.gateway.backend;

import org.snowwind.gateway.table.EngineProfile;
import org.snowwind.model.event.Event;
import org.snowwind.model.event.EventLog;

/**
 * How loaded a group of ranks is, and how much more it takes. Confined to the loop.
 *
 * <p>
 * How full it may be says its {@link GroupLimit}. A group whose ranks refuse or whose
 * streams are all silent is closed, but for one request at a time that finds out whether
 * it works again.
 */
public final class GroupLoad {

	/** Stands for the group of a server that is in none. */
	static final GroupLoad NONE = new GroupLoad("");

	/** So many refusals in a row, by whatever ranks, close a group for a while. */
	private static final int REFUSALS_TO_CLOSE = 3;

	/**
	 * A group that lost a rank is formed anew within about a second; one request asks so
	 * often whether it was.
	 */
	private static final long CLOSED_MILLIS = 250;

	/**
	 * Each pass gives each stream an event, so that a group whose streams are all silent
	 * for so long stands still, in milliseconds; several of the longest passes on time.
	 */
	private static final long STANDSTILL_MILLIS = 500;

	private final String name;

	private int ranks;

	private int load;

	private final GroupLimit limit;

	private final PassTime passes = new PassTime();

	private int refusals;

	private long closedUntilMillis;

	private boolean closed;

	private boolean probed;

	private int streams;

	private long lastEventMillis;

	GroupLoad(String name) {
		this(name, GroupLimit.meanPass());
	}

	GroupLoad(String name, GroupLimit limit) {
		this.name = name;
		this.limit = limit;
	}

	/**
	 * Returns the group's name.
	 * @return the name
	 */
	public String name() {
		return this.name;
	}

	void count(int nowRanks, int nowLoad) {
		this.ranks = nowRanks;
		this.load = nowLoad;
	}

	void sent() {
		this.load++;
		this.probed = this.closed;
	}

	void ended() {
		this.load--;
		this.probed = false;
	}

	/**
	 * Counts the requests that the group has, as far as is known.
	 * @return a number of requests
	 */
	public int load() {
		return this.load;
	}

	/**
	 * Returns the time of a pass.
	 * @return the mean, in milliseconds; 0 before any was seen
	 */
	public double passMillis() {
		return this.passes.millis();
	}

	/**
	 * Tells when its passes have last become much longer at once.
	 * @return the time, in milliseconds; {@link Long#MIN_VALUE} if they never have
	 */
	long jumpedMillis() {
		return this.passes.jumpedMillis();
	}

	/**
	 * Takes note of a pause between two events of a stream.
	 * @param pauseMillis the pause, in milliseconds
	 * @param pauseTargetMillis the longest pause on time, in milliseconds
	 * @param profile how fast the engines are
	 * @param nowMillis the time, in milliseconds
	 */
	void paused(long pauseMillis, long pauseTargetMillis, EngineProfile profile, long nowMillis) {
		opened();
		this.lastEventMillis = nowMillis;
		boolean jumped = this.passes.observe(pauseMillis, pauseTargetMillis, emptyPassMillis(profile), this.load,
				nowMillis);
		if (jumped) {
			EventLog.log(Event.PASSES_JUMPED, "group", this.name, "pauseMillis", pauseMillis, "meanMillis",
					Math.round(this.passes.millis()), "load", this.load);
		}
	}

	private static double emptyPassMillis(EngineProfile profile) {
		return profile.stepsPerPass() * profile.stepMillis();
	}

	/**
	 * Tells how much room the group has.
	 * @param wanted what is needed
	 * @param nowMillis the time, in milliseconds
	 * @return the free part of what it may have, 1 for no group, 0 or less for a full one
	 */
	double roomShare(Wanted wanted, long nowMillis) {
		if (this == NONE) {
			return 1;
		}
		closeIfStandingStill(nowMillis);
		if (!open(nowMillis)) {
			return 0;
		}
		double limit = limit(wanted.pauseTargetMillis(), wanted.engine(), nowMillis);
		return 1 - this.load / limit;
	}

	/**
	 * Returns how many requests the group can have with all streams on time.
	 * @param pauseTargetMillis the longest pause on time, in milliseconds
	 * @param profile how fast the engines are
	 * @param nowMillis the time, in milliseconds
	 * @return a number of requests
	 */
	int limit(long pauseTargetMillis, EngineProfile profile, long nowMillis) {
		int slots = this.ranks * profile.slots();
		GroupLimit.Needs needs = new GroupLimit.Needs(slots, emptyPassMillis(profile), pauseTargetMillis);
		return this.limit.limit(this.passes, needs, nowMillis);
	}

	/**
	 * Takes note that a rank refused a request.
	 * @param nowMillis the time, in milliseconds
	 */
	void refused(long nowMillis) {
		this.refusals++;
		if (this.closed || this.refusals >= REFUSALS_TO_CLOSE) {
			close("its ranks refuse", nowMillis);
		}
	}

	/**
	 * Takes note that a stream has begun.
	 * @param nowMillis the time, in milliseconds
	 */
	void streamBegan(long nowMillis) {
		this.streams++;
		this.lastEventMillis = nowMillis;
		opened();
	}

	/**
	 * Takes note of streams that began before it was known that their rank is in this
	 * group.
	 * @param count how many
	 * @param nowMillis the time, in milliseconds
	 */
	void streamsJoined(int count, long nowMillis) {
		this.streams += count;
		this.lastEventMillis = Math.max(this.lastEventMillis, nowMillis);
	}

	/**
	 * Takes note that streams that had begun have ended.
	 * @param count how many
	 */
	void streamsLeft(int count) {
		this.streams -= count;
	}

	private void opened() {
		this.refusals = 0;
		this.probed = false;
		if (this.closed) {
			this.closed = false;
			EventLog.log(Event.GROUP_OPENED, "group", this.name, "load", this.load);
		}
	}

	private void close(String reason, long nowMillis) {
		this.closedUntilMillis = nowMillis + CLOSED_MILLIS;
		if (!this.closed) {
			this.closed = true;
			EventLog.log(Event.GROUP_CLOSED, "group", this.name, "reason", reason, "refusals", this.refusals, "streams",
					this.streams, "sinceEventMillis", nowMillis - this.lastEventMillis, "load", this.load);
		}
	}

	private void closeIfStandingStill(long nowMillis) {
		if (!this.closed && this.streams > 0 && nowMillis - this.lastEventMillis > STANDSTILL_MILLIS) {
			close("its streams are silent", nowMillis);
		}
	}

	/**
	 * Tells whether the group is known to take requests.
	 * @return false from when it has refused several until it answers one
	 */
	boolean closed() {
		return this.closed;
	}

	/**
	 * Tells whether the group takes a request.
	 * @param nowMillis the time, in milliseconds
	 * @return false while it is closed, but for one request at a time that finds out
	 */
	boolean open(long nowMillis) {
		return !this.closed || (nowMillis >= this.closedUntilMillis && !this.probed);
	}

}
