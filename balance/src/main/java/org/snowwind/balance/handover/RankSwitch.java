package org.snowwind.balance.handover;

/**
 * State machine of a rank during a switch. A rank runs the step that it is bound to only
 * once the bind is confirmed.
 *
 * <p>
 * A rank that reaches the bound step before the confirmation stalls. This costs nothing
 * extra in a lock-step group, because the other ranks wait for it anyway.
 */
public final class RankSwitch {

	/** Returned in place of a generation while the next step must not be run. */
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
	 * Creates the state machine of a rank.
	 * @param rank the index of the rank in the group
	 * @param generation the generation of the map that the rank runs
	 */
	public RankSwitch(int rank, long generation) {
		this.rank = rank;
		this.generation = generation;
	}

	/**
	 * Executes an order, or rejects it if its ballot is too low.
	 * @param order the order
	 * @return the state afterwards
	 */
	public RankState handle(RankOrder order) {
		if (order.ballot() >= this.ballot) {
			this.ballot = order.ballot();
			execute(order);
		}
		return state();
	}

	private void execute(RankOrder order) {
		if (order instanceof RankOrder.Bind bind) {
			bind(bind);
		}
		else if (order instanceof RankOrder.Confirm confirm) {
			this.confirmed = this.confirmed || (isBound() && this.boundBallot == confirm.boundBallot());
		}
		else if (order instanceof RankOrder.Abort && !this.confirmed) {
			this.boundBallot = UNBOUND;
		}
	}

	private void bind(RankOrder.Bind order) {
		boolean stepIsAhead = this.nextStep < order.step();
		if (!this.confirmed && stepIsAhead) {
			this.boundBallot = order.ballot();
			this.boundGeneration = order.generation();
			this.boundStep = order.step();
		}
	}

	private boolean isBound() {
		return this.boundBallot != UNBOUND;
	}

	/**
	 * Returns the generation of the map on which the next step runs.
	 * @return the generation, or {@link #STALL}
	 */
	public long generationOfNextStep() {
		if (!isBound() || this.nextStep < this.boundStep) {
			return this.generation;
		}
		return this.confirmed ? this.boundGeneration : STALL;
	}

	/**
	 * Runs the next step.
	 * @return the generation of the map on which it ran
	 * @throws IllegalStateException if the step must not be run yet
	 */
	public long runStep() {
		long stepGeneration = generationOfNextStep();
		if (stepGeneration == STALL) {
			throw new IllegalStateException("step " + this.nextStep + " is bound but not confirmed");
		}
		if (isBound() && this.nextStep >= this.boundStep) {
			this.generation = this.boundGeneration;
			this.boundBallot = UNBOUND;
			this.confirmed = false;
		}
		this.nextStep++;
		return stepGeneration;
	}

	/**
	 * Returns the state of the rank.
	 * @return the state that the rank reports
	 */
	public RankState state() {
		return new RankState(this.rank, this.ballot, this.generation, this.nextStep, this.boundBallot,
				this.boundGeneration, this.boundStep, this.confirmed);
	}

}
