package org.snowwind.balance.handover;

import org.snowwind.model.MonotonicClock;

/**
 * Carries out what an owner wants: sends each rank its order again and again until the
 * switch is done. Confined to one thread.
 */
public final class SwitchDriver {

	private final SwitchOwner owner;

	private final RankGroup group;

	private final int ranks;

	private final MonotonicClock clock;

	private final long attemptMillis;

	private long attemptBeganMillis;

	/**
	 * Creates a driver.
	 * @param owner decides
	 * @param group takes the orders
	 * @param ranks how many ranks the group has
	 * @param clock tells the time
	 * @param attemptMillis an attempt that takes longer is begun anew, in milliseconds
	 */
	public SwitchDriver(SwitchOwner owner, RankGroup group, int ranks, MonotonicClock clock, long attemptMillis) {
		this.owner = owner;
		this.group = group;
		this.ranks = ranks;
		this.clock = clock;
		this.attemptMillis = attemptMillis;
		this.attemptBeganMillis = clock.nowMillis();
	}

	/**
	 * Sends every rank the order that it should get now.
	 * @return true once every rank runs the target
	 */
	public boolean tick() {
		if (this.clock.nowMillis() - this.attemptBeganMillis > this.attemptMillis) {
			this.owner.tryAgain();
			this.attemptBeganMillis = this.clock.nowMillis();
		}
		boolean done = true;
		for (int rank = 0; rank < this.ranks; rank++) {
			int target = rank;
			done &= this.owner.orderFor(rank).isEmpty();
			this.owner.orderFor(rank).ifPresent((order) -> this.group.order(target, order, this.owner::on));
		}
		return done;
	}

}
