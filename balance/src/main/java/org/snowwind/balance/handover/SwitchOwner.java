package org.snowwind.balance.handover;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Coordinates a switch: asks all ranks for their state, binds all to a step, and confirms
 * the step to all.
 *
 * <p>
 * An owner begins every attempt by asking all ranks under a new ballot. From then on the
 * ranks reject orders with lower ballots that are still in flight. If any rank has a
 * confirmed bind, or runs the target already, the owner confirms the switch to all ranks;
 * otherwise it aborts all earlier binds before it binds the ranks to a new step. Two
 * owners, one of which may resume after a long pause, therefore never bring ranks to
 * different outcomes. Ballots grow with the term, which the platform assigns by a
 * conditional write.
 */
public final class SwitchOwner {

	private static final int ATTEMPT_BITS = 20;

	private final int ranks;

	private final long targetGeneration;

	private final long leadSteps;

	private final Map<Integer, RankState> answers = new HashMap<>();

	private long ballot;

	private Phase phase = Phase.ASK;

	private long boundBallot;

	private long boundStep;

	/**
	 * Creates an owner in the phase {@link Phase#ASK}.
	 * @param ranks how many ranks the group has
	 * @param term the term of the owner, higher than any earlier one
	 * @param targetGeneration the generation of the map that the group should run
	 * @param leadSteps how many steps after the most advanced rank the switch takes place
	 */
	public SwitchOwner(int ranks, long term, long targetGeneration, long leadSteps) {
		this.ranks = ranks;
		this.ballot = term << ATTEMPT_BITS;
		this.targetGeneration = targetGeneration;
		this.leadSteps = leadSteps;
	}

	/**
	 * Returns the order to send to a rank now. Orders are idempotent.
	 * @param rank the index of the rank in the group
	 * @return the order, empty once the rank runs the target map
	 */
	public Optional<RankOrder> orderFor(int rank) {
		RankState last = this.answers.get(rank);
		boolean done = this.phase == Phase.CONFIRM && last != null && last.generation() == this.targetGeneration;
		if (done) {
			return Optional.empty();
		}
		RankOrder order = switch (this.phase) {
			case ASK -> new RankOrder.Ask(this.ballot);
			case ABORT -> new RankOrder.Abort(this.ballot);
			case BIND -> new RankOrder.Bind(this.ballot, this.targetGeneration, this.boundStep);
			case CONFIRM -> new RankOrder.Confirm(this.ballot, this.boundBallot);
		};
		return Optional.of(order);
	}

	/**
	 * Handles the answer of a rank.
	 * @param state the state that the rank reports
	 */
	public void handle(RankState state) {
		if (state.ballot() != this.ballot) {
			return;
		}
		RankState previous = this.answers.get(state.rank());
		boolean stale = previous != null && previous.nextStep() > state.nextStep();
		if (!stale) {
			this.answers.put(state.rank(), state);
		}
		advance();
	}

	/**
	 * Begins a new attempt after the last one has taken too long. A switch that is being
	 * confirmed is not begun again.
	 */
	public void beginNewAttempt() {
		if (this.phase != Phase.CONFIRM) {
			enterUnderNewBallot(Phase.ASK);
		}
	}

	private void advance() {
		if (this.answers.size() < this.ranks) {
			return;
		}
		switch (this.phase) {
			case ASK -> afterAsk();
			case ABORT -> afterAbort();
			case BIND -> afterBind();
			case CONFIRM -> {
			}
		}
	}

	private void afterAsk() {
		Optional<RankState> confirmed = this.answers.values().stream().filter(RankState::confirmed).findFirst();
		boolean someRunTarget = this.answers.values()
			.stream()
			.anyMatch((state) -> state.generation() == this.targetGeneration);
		Optional<RankState> bound = this.answers.values()
			.stream()
			.filter((state) -> state.boundBallot() != 0)
			.findFirst();
		if (confirmed.isPresent()) {
			this.boundBallot = confirmed.get().boundBallot();
			enter(Phase.CONFIRM);
		}
		else if (someRunTarget) {
			this.boundBallot = bound.map(RankState::boundBallot).orElse(0L);
			enter(Phase.CONFIRM);
		}
		else {
			enterUnderNewBallot(Phase.ABORT);
		}
	}

	private void afterAbort() {
		boolean noneBound = this.answers.values().stream().allMatch((state) -> state.boundBallot() == 0);
		if (noneBound) {
			long maxNextStep = this.answers.values().stream().mapToLong(RankState::nextStep).max().orElse(0);
			this.boundStep = maxNextStep + this.leadSteps;
			enterUnderNewBallot(Phase.BIND);
		}
	}

	private void afterBind() {
		boolean allBound = this.answers.values().stream().allMatch((state) -> state.boundBy(this.ballot));
		if (allBound) {
			this.boundBallot = this.ballot;
			enter(Phase.CONFIRM);
		}
	}

	// A delayed order of an earlier phase must not undo the effect of a later phase.
	private void enterUnderNewBallot(Phase next) {
		this.ballot++;
		enter(next);
	}

	private void enter(Phase next) {
		this.phase = next;
		this.answers.clear();
	}

	/**
	 * Returns the current phase.
	 * @return the phase
	 */
	public Phase phase() {
		return this.phase;
	}

	/**
	 * The phases of an attempt.
	 */
	public enum Phase {

		/** Asks all ranks for their state. */
		ASK,

		/** Aborts unconfirmed binds of earlier ballots on all ranks. */
		ABORT,

		/** Binds all ranks to the step at which they switch. */
		BIND,

		/** Confirms the bind to all ranks. */
		CONFIRM

	}

}
