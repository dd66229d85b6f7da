package org.snowwind.gateway.backend;

import org.snowwind.gateway.table.EngineProfile;
import org.snowwind.model.event.Event;
import org.snowwind.model.event.EventLog;

/**
 * How loaded a group of ranks is, and how much more it takes. Confined to the loop.
 *
 * <p>
 * All ranks of a group step together, and each pass gives every stream one event. So the
 * pauses between events of our own streams tell the time of a pass, which grows with the
 * requests of the whole group. Beyond the number at which a pass takes as long as a pause
 * may last, one more request would make all streams of the group late.
 */
public final class GroupLoad {

	/** Stands for the group of a server that is in none. */
	static final GroupLoad NONE = new GroupLoad("");

	/** The part of the longest pause on time that a pass may take. */
	private static final double PASS_SHARE = 0.68;

	/** The part of a new pause in the mean. */
	private static final double PAUSE_SHARE = 0.04;

	/** Pauses beyond this many longest ones are stalls and say nothing of the load. */
	private static final double STALL = 3;

	/** After this time without an event the mean says nothing, in milliseconds. */
	private static final long MEAN_LIFE_MILLIS = 2000;

	/**
	 * At least this part of the slots is always filled: fewer would leave engines idle
	 * because of a pass that was slow for another reason.
	 */
	private static final double LEAST_SHARE = 0.55;

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

	private double passMillis;

	private double perRequestMillis;

	private long observedMillis;

	private int refusals;

	private long closedUntilMillis;

	private boolean closed;

	private boolean probed;

	private int streams;

	private long lastEventMillis;

	GroupLoad(String name) {
		this.name = name;
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
		return this.passMillis;
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
		if (pauseMillis > STALL * pauseTargetMillis) {
			return;
		}
		boolean stale = nowMillis - this.observedMillis > MEAN_LIFE_MILLIS;
		this.passMillis += (stale ? 1 : PAUSE_SHARE) * (pauseMillis - this.passMillis);
		this.observedMillis = nowMillis;
		double added = Math.max(0, this.passMillis - emptyPassMillis(profile));
		double perRequest = added / Math.max(1, this.load);
		this.perRequestMillis += (stale ? 1 : PAUSE_SHARE) * (perRequest - this.perRequestMillis);
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
		double limit = wanted.limit(limit(wanted.pauseTargetMillis(), wanted.engine(), nowMillis));
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
		boolean stale = nowMillis - this.observedMillis > MEAN_LIFE_MILLIS;
		if (stale || this.perRequestMillis <= 0 || pauseTargetMillis <= 0) {
			return slots;
		}
		double room = PASS_SHARE * pauseTargetMillis - emptyPassMillis(profile);
		int limit = (int) (room / this.perRequestMillis);
		return Math.max((int) Math.ceil(LEAST_SHARE * slots), Math.min(slots, limit));
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
	 * Takes note that a stream that had begun has ended.
	 */
	void streamEnded() {
		this.streams--;
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
