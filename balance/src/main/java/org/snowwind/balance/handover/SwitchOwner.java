package org.snowwind.balance.handover;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * An owner's part in a switch: ask all, bind all, confirm all.
 *
 * <p>
 * An owner begins every attempt by asking all ranks under a new ballot, which closes them
 * to whatever lower ballots still have under way. If any rank was confirmed before, the
 * same is confirmed to all; if none was, whatever was bound is aborted. So two owners, of
 * whom one may wake from a pause, never bring ranks to different ends. Ballots grow with
 * the term, which the platform gives by a conditional write.
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
	 * Creates an owner that begins by asking.
	 * @param ranks how many ranks the group has
	 * @param term the owner's term, higher than any before
	 * @param targetGeneration the map that the group should run
	 * @param leadSteps how many steps ahead the switch is bound
	 */
	public SwitchOwner(int ranks, long term, long targetGeneration, long leadSteps) {
		this.ranks = ranks;
		this.ballot = term << ATTEMPT_BITS;
		this.targetGeneration = targetGeneration;
		this.leadSteps = leadSteps;
	}

	/**
	 * Returns the order that a rank should get now; sending it again does no harm.
	 * @param rank the rank's place in the group
	 * @return the order, empty once the rank runs the target
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
	 * Takes note of a rank's answer.
	 * @param state what the rank says of itself
	 */
	public void on(RankState state) {
		if (state.ballot() != this.ballot) {
			return;
		}
		RankState before = this.answers.get(state.rank());
		boolean older = before != null && before.nextStep() > state.nextStep();
		if (!older) {
			this.answers.put(state.rank(), state);
		}
		advance();
	}

	/**
	 * Begins a new attempt, when the last one has taken too long.
	 */
	public void tryAgain() {
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
		boolean allFree = this.answers.values().stream().allMatch((state) -> state.boundBallot() == 0);
		if (allFree) {
			long furthest = this.answers.values().stream().mapToLong(RankState::nextStep).max().orElse(0);
			this.boundStep = furthest + this.leadSteps;
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

	// A delayed order of an earlier phase must not undo what a later one brought about.
	private void enterUnderNewBallot(Phase next) {
		this.ballot++;
		enter(next);
	}

	private void enter(Phase next) {
		this.phase = next;
		this.answers.clear();
	}

	/**
	 * Returns the phase.
	 * @return what the owner is at
	 */
	public Phase phase() {
		return this.phase;
	}

	/**
	 * The phases of an attempt.
	 */
	public enum Phase {

		/** Asks all ranks. */
		ASK,

		/** Frees all ranks of what was bound before. */
		ABORT,

		/** Binds all ranks to a step. */
		BIND,

		/** Confirms the step to all ranks. */
		CONFIRM

	}

}
