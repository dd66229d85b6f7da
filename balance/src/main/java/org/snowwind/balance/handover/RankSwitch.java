package org.snowwind.balance.handover;

/**
 * A rank's part in a switch: it runs a bound step only once it is confirmed.
 *
 * <p>
 * A rank that reaches the bound step unconfirmed stalls. In a lock-step group that costs
 * nothing extra, since the other ranks wait for it anyway.
 */
public final class RankSwitch {

	/** The step may not be run yet. */
	public static final long STALL = -1;

	private static final long UNBOUND = 0;

	private final int rank;

	private long ballot;

	private long generation;

	private long nextStep;

	private long boundBallot = UNBOUND;

	private long boundGeneration;

	private long boundStep;

	private boolean confirmed;

	/**
	 * Creates a rank's part.
	 * @param rank its place in the group
	 * @param generation the map that it runs
	 */
	public RankSwitch(int rank, long generation) {
		this.rank = rank;
		this.generation = generation;
	}

	/**
	 * Obeys or refuses an order.
	 * @param order the order
	 * @return the state afterwards
	 */
	public RankState on(RankOrder order) {
		if (order.ballot() >= this.ballot) {
			this.ballot = order.ballot();
			obey(order);
		}
		return state();
	}

	private void obey(RankOrder order) {
		if (order instanceof RankOrder.Bind bind) {
			bind(bind);
		}
		else if (order instanceof RankOrder.Confirm confirm) {
			this.confirmed = this.confirmed || (bound() && this.boundBallot == confirm.boundBallot());
		}
		else if (order instanceof RankOrder.Abort && !this.confirmed) {
			this.boundBallot = UNBOUND;
		}
	}

	private void bind(RankOrder.Bind order) {
		boolean inTime = this.nextStep < order.step();
		if (!this.confirmed && inTime) {
			this.boundBallot = order.ballot();
			this.boundGeneration = order.generation();
			this.boundStep = order.step();
		}
	}

	private boolean bound() {
		return this.boundBallot != UNBOUND;
	}

	/**
	 * Tells which map the next step runs on.
	 * @return the generation, or {@link #STALL}
	 */
	public long generationOfNextStep() {
		if (!bound() || this.nextStep < this.boundStep) {
			return this.generation;
		}
		return this.confirmed ? this.boundGeneration : STALL;
	}

	/**
	 * Runs the next step.
	 * @return the generation that it ran on
	 * @throws IllegalStateException if the step may not be run yet
	 */
	public long runStep() {
		long runs = generationOfNextStep();
		if (runs == STALL) {
			throw new IllegalStateException("step " + this.nextStep + " is bound and not confirmed");
		}
		if (bound() && this.nextStep >= this.boundStep) {
			this.generation = this.boundGeneration;
			this.boundBallot = UNBOUND;
			this.confirmed = false;
		}
		this.nextStep++;
		return runs;
	}

	/**
	 * Returns the state.
	 * @return what the rank says of itself
	 */
	public RankState state() {
		return new RankState(this.rank, this.ballot, this.generation, this.nextStep, this.boundBallot,
				this.boundGeneration, this.boundStep, this.confirmed);
	}

}
