package org.snowwind.balance.handover;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class SwitchTests {

	private static final int RANKS = 3;

	/**
	 * Enough for one owner to reach its last phase and for another to interfere with it.
	 */
	private static final int EVENTS = 1200;

	@Test
	void rankStallsAtTheBoundStepUntilTheBindIsConfirmed() {
		RankSwitch rank = new RankSwitch(0, 1);
		rank.handle(new RankOrder.Bind(5, 2, 1));
		assertThat(rank.runStep()).isEqualTo(1);
		assertThat(rank.generationOfNextStep()).isEqualTo(RankSwitch.STALL);
		rank.handle(new RankOrder.Confirm(5, 5));
		assertThat(rank.runStep()).isEqualTo(2);
	}

	@Test
	void rankRejectsLowerBallots() {
		RankSwitch rank = new RankSwitch(0, 1);
		rank.handle(new RankOrder.Bind(5, 2, 3));
		rank.handle(new RankOrder.Ask(6));
		rank.handle(new RankOrder.Confirm(5, 5));
		assertThat(rank.state().confirmed()).isFalse();
	}

	@Test
	void bindToTheNextStepIsRejected() {
		RankSwitch rank = new RankSwitch(0, 1);
		rank.runStep();
		rank.runStep();
		rank.handle(new RankOrder.Bind(5, 2, 2));
		assertThat(rank.state().boundBallot()).isZero();
	}

	@Test
	void confirmedBindIsNeverAborted() {
		RankSwitch rank = new RankSwitch(0, 1);
		rank.handle(new RankOrder.Bind(5, 2, 3));
		rank.handle(new RankOrder.Confirm(5, 5));
		rank.handle(new RankOrder.Abort(9));
		assertThat(rank.state().confirmed()).isTrue();
	}

	@Property(seed = "20261202", tries = 4000)
	void noStepMixesMapsAndTheSwitchCompletesOnceFaultsEnd(@ForAll long seed) {
		Group group = new Group(seed);
		for (int i = 0; i < EVENTS; i++) {
			group.randomEvent();
		}
		group.completeWithoutFaults();
		assertThat(group.mixedSteps()).isEmpty();
		assertThat(group.ranks).allMatch((rank) -> rank.state().generation() == 2);
	}

	/**
	 * Simulates ranks in lock-step, up to three owners, and a network that loses,
	 * duplicates, delays and reorders messages.
	 */
	private static final class Group {

		private final Random random;

		private final List<RankSwitch> ranks = new ArrayList<>();

		private final List<SwitchOwner> owners = new ArrayList<>();

		private final List<Runnable> inFlight = new ArrayList<>();

		private final Map<Long, List<Long>> generationsOfStep = new HashMap<>();

		private Group(long seed) {
			this.random = new Random(seed);
			for (int rank = 0; rank < RANKS; rank++) {
				this.ranks.add(new RankSwitch(rank, 1));
			}
			this.owners.add(new SwitchOwner(RANKS, 1, 2, 1 + this.random.nextInt(3)));
		}

		private void randomEvent() {
			switch (this.random.nextInt(8)) {
				case 0, 1, 2 -> send(randomOf(this.owners));
				case 3, 4, 5 -> deliver();
				case 6 -> step(this.random.nextInt(RANKS));
				default -> rareEvent();
			}
		}

		private void rareEvent() {
			int draw = this.random.nextInt(10);
			if (draw == 0 && this.owners.size() < 3 && this.random.nextInt(4) == 0) {
				this.owners.add(new SwitchOwner(RANKS, this.owners.size() + 1, 2, 1 + this.random.nextInt(3)));
			}
			else if (draw == 1 && this.random.nextInt(6) == 0) {
				randomOf(this.owners).beginNewAttempt();
			}
			else {
				step(this.random.nextInt(RANKS));
			}
		}

		private void send(SwitchOwner owner) {
			int rank = this.random.nextInt(RANKS);
			owner.orderFor(rank).ifPresent((order) -> this.inFlight.add(() -> execute(owner, rank, order)));
		}

		private void execute(SwitchOwner owner, int rank, RankOrder order) {
			RankState answer = this.ranks.get(rank).handle(order);
			this.inFlight.add(() -> owner.handle(answer));
		}

		private void deliver() {
			if (this.inFlight.isEmpty()) {
				return;
			}
			int index = this.random.nextInt(this.inFlight.size());
			switch (this.random.nextInt(12)) {
				case 0 -> this.inFlight.remove(index);
				case 1 -> this.inFlight.get(index).run();
				default -> this.inFlight.remove(index).run();
			}
		}

		// A rank runs a step only when all ranks have finished the previous one.
		private void step(int number) {
			RankSwitch rank = this.ranks.get(number);
			long next = rank.state().nextStep();
			boolean othersReachedStep = this.ranks.stream().allMatch((other) -> other.state().nextStep() >= next);
			if (othersReachedStep && rank.generationOfNextStep() != RankSwitch.STALL) {
				this.generationsOfStep.computeIfAbsent(next, (key) -> new ArrayList<>()).add(rank.runStep());
			}
		}

		private void completeWithoutFaults() {
			this.inFlight.clear();
			SwitchOwner last = new SwitchOwner(RANKS, 9, 2, 2);
			for (int round = 0; round < 400; round++) {
				for (int rank = 0; rank < RANKS; rank++) {
					int target = rank;
					last.orderFor(rank).ifPresent((order) -> last.handle(this.ranks.get(target).handle(order)));
				}
				if (round % 20 == 19) {
					last.beginNewAttempt();
				}
				for (int rank = 0; rank < RANKS; rank++) {
					step(rank);
				}
			}
		}

		private List<Long> mixedSteps() {
			return this.generationsOfStep.entrySet()
				.stream()
				.filter((entry) -> entry.getValue().stream().distinct().count() > 1)
				.map(Map.Entry::getKey)
				.toList();
		}

		private <T> T randomOf(List<T> from) {
			return from.get(this.random.nextInt(from.size()));
		}

	}

}
