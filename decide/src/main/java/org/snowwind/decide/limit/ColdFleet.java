package org.snowwind.decide.limit;

import java.util.Optional;
import java.util.Set;

/**
 * Decides whether what this process knows of the others allows it to send requests to
 * cold servers.
 *
 * <p>
 * Handles restarts, freezes and partitions: the sum over all processes must hold also for
 * those that know least. Not thread-safe.
 */
public final class ColdFleet {

	/**
	 * The time without requests to cold servers after a start, a freeze or a partition,
	 * in milliseconds. The previous incarnation of the process may have sent requests
	 * within the last second, and each of 370 processes reports every 3.7 s.
	 */
	static final long START_MILLIS = 4000;

	/**
	 * For how long a process that lost the majority keeps its share, in milliseconds. The
	 * others remove it after 30 s and divide its share among themselves; a process may
	 * notice the loss up to 11 s late.
	 */
	static final long MINORITY_MILLIS = 10_000;

	/**
	 * For how long the fleet counts as large as it was, in milliseconds. After a
	 * partition the processes of the other side become known one by one.
	 */
	static final long HOLD_MILLIS = 60_000;

	/**
	 * The time without an observation after which this process counts as having been
	 * frozen, in milliseconds. Others may have forgotten it.
	 */
	static final long FROZEN_MILLIS = 1000;

	/**
	 * The time without an observation after which requests that were about to be sent may
	 * be sent together, in milliseconds. Observations are made every 50 ms.
	 */
	static final long STALLED_MILLIS = 200;

	private long quietUntilMillis;

	private long observedMillis;

	private long majorityMillis = Long.MIN_VALUE / 2;

	private int heldSize;

	private long heldMillis;

	private ColdShare.Fleet fleet = new ColdShare.Fleet("", 0, Set.of());

	/**
	 * Creates the state of a process that knows no others.
	 * @param startedMillis when it was started, in milliseconds
	 */
	public ColdFleet(long startedMillis) {
		this.quietUntilMillis = startedMillis + START_MILLIS;
		this.observedMillis = startedMillis;
	}

	/**
	 * Records the processes that are known now. This must happen every 50 ms.
	 * @param observed the processes
	 * @param nowMillis the time, in milliseconds
	 */
	public void observe(ColdShare.Fleet observed, long nowMillis) {
		long gapMillis = nowMillis - this.observedMillis;
		if (gapMillis > STALLED_MILLIS) {
			stayQuiet((gapMillis > FROZEN_MILLIS) ? START_MILLIS : SendWindow.WINDOW_MILLIS, nowMillis);
		}
		this.observedMillis = nowMillis;
		if (observed.size() >= this.heldSize || nowMillis - this.heldMillis > HOLD_MILLIS) {
			this.heldSize = observed.size();
			this.heldMillis = nowMillis;
		}
		ColdShare.Fleet held = new ColdShare.Fleet(observed.ownName(), this.heldSize, observed.otherLiveNames());
		if (held.isMajorityLive()) {
			if (!isInMajority(nowMillis)) {
				stayQuiet(START_MILLIS, nowMillis);
			}
			this.majorityMillis = nowMillis;
		}
		// The same instance lets callers cache what they derive from it.
		this.fleet = held.equals(this.fleet) ? this.fleet : held;
	}

	private void stayQuiet(long millis, long nowMillis) {
		this.quietUntilMillis = Math.max(this.quietUntilMillis, nowMillis + millis);
	}

	private boolean isInMajority(long nowMillis) {
		return nowMillis - this.majorityMillis <= MINORITY_MILLIS;
	}

	/**
	 * Returns the processes to divide requests among.
	 * @param nowMillis the time, in milliseconds
	 * @return the processes, empty if this process may send no requests to cold servers
	 */
	public Optional<ColdShare.Fleet> usable(long nowMillis) {
		boolean current = nowMillis - this.observedMillis <= STALLED_MILLIS;
		boolean usable = current && nowMillis >= this.quietUntilMillis && isInMajority(nowMillis);
		return usable ? Optional.of(this.fleet) : Optional.empty();
	}

}
