package org.snowwind.balance.handover;

import org.snowwind.model.MonotonicClock;

/**
 * Drives a switch: sends each rank its current order repeatedly until the switch is
 * complete. Confined to one thread.
 */
public final class SwitchDriver {

	private final SwitchOwner owner;

	private final RankGroup group;

	private final int ranks;

	private final MonotonicClock clock;

	private final long attemptMillis;

	private long attemptStartMillis;

	/**
	 * Creates a driver.
	 * @param owner decides which order each rank gets
	 * @param group delivers the orders to the ranks
	 * @param ranks how many ranks the group has
	 * @param clock the clock that times attempts
	 * @param attemptMillis the time after which an attempt is begun again, in
	 * milliseconds
	 */
	public SwitchDriver(SwitchOwner owner, RankGroup group, int ranks, MonotonicClock clock, long attemptMillis) {
		this.owner = owner;
		this.group = group;
		this.ranks = ranks;
		this.clock = clock;
		this.attemptMillis = attemptMillis;
		this.attemptStartMillis = clock.nowMillis();
	}

	/**
	 * Sends every rank its current order, and begins a new attempt if the last one has
	 * timed out.
	 * @return true once every rank runs the target map
	 */
	public boolean tick() {
		if (this.clock.nowMillis() - this.attemptStartMillis > this.attemptMillis) {
			this.owner.beginNewAttempt();
			this.attemptStartMillis = this.clock.nowMillis();
		}
		boolean done = true;
		for (int rank = 0; rank < this.ranks; rank++) {
			int target = rank;
			done &= this.owner.orderFor(rank).isEmpty();
			this.owner.orderFor(rank).ifPresent((order) -> this.group.sendOrder(target, order, this.owner::handle));
		}
		return done;
	}

}
