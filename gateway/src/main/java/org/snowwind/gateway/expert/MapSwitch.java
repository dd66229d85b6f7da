package org.snowwind.gateway.expert;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.snowwind.model.MonotonicClock;

/**
 * Switches all ranks of a group to a new map at the same pass.
 *
 * <p>
 * All ranks prepare the map, one rank holds a future pass, every rank is armed for that
 * pass, and the pass is released. No pass can begin with two maps, even if messages are
 * lost or delayed: the pass is held while ranks are armed, and is released only after
 * every rank has confirmed. A rank rejects a delayed order because its pass has begun. A
 * new owner completes the switch in the same direction, because an order of the previous
 * owner may still be in flight.
 */
final class MapSwitch {

	/**
	 * The maximum number of prepare orders to a rank, each of which returns its state.
	 */
	private static final int PREPARE_TRIES = 25;

	/** The maximum number of prepare orders to a rank that does not answer. */
	private static final int REPEATS = 4;

	/**
	 * The additional margin of the held pass if orders go unanswered, in passes. Repeated
	 * orders take time, and a group that waits for a held pass makes all its streams
	 * late.
	 */
	private static final int PASSES_FOR_REPEATS = 3;

	/** The maximum number of passes that are tried; each is further ahead. */
	private static final int HOLD_TRIES = 6;

	private static final long POLL_MILLIS = 40;

	private static final long RETRY_MILLIS = 15;

	/**
	 * The number of attempts after which ranks are asked whether the group still exists.
	 */
	private static final int TRIES_BEFORE_CHECK = 10;

	private final RankGroupPort group;

	private final StepClock steps;

	private final MonotonicClock clock;

	/** The number of unanswered orders of the last switch. */
	private int unanswered;

	private long releasedStep = RankReport.NOT_HELD;

	/**
	 * Creates a switch.
	 * @param group the ranks
	 * @param steps predicts the current pass
	 * @param clock the clock
	 */
	MapSwitch(RankGroupPort group, StepClock steps, MonotonicClock clock) {
		this.group = group;
		this.steps = steps;
		this.clock = clock;
	}

	/**
	 * Switches all ranks to a new map.
	 * @param ranks all ranks of the group
	 * @param prepare the map
	 * @param copyMillis the expected time of the longest copy, in milliseconds
	 * @return the outcome
	 */
	SwitchOutcome run(List<Rank> ranks, MapOrder.Prepare prepare, long copyMillis) {
		List<Rank> pending = new ArrayList<>();
		long beginMillis = this.clock.nowMillis();
		Optional<SwitchOutcome> stopped = beginCopies(ranks, prepare, pending);
		if (stopped.isPresent()) {
			return stopped.get();
		}
		long tellMillis = this.clock.nowMillis() - beginMillis;
		this.group.pause(copyMillis);
		// A rank returns its state when it is sent the map again. Its reports are smaller
		// but delayed, so they are only used if sending the map takes longer.
		if (tellMillis > StepClock.REPORT_LAG_MILLIS) {
			pending = unprepared(pending, prepare.version());
		}
		for (int attempt = 0; attempt < PREPARE_TRIES && !pending.isEmpty(); attempt++) {
			// The response to a repeated order shows whether the copies are complete.
			List<OrderResult> results = give(pending, prepare);
			stopped = stoppedBy(results);
			if (stopped.isPresent()) {
				return stopped.get();
			}
			pending = without(pending, results, Set.of(OrderResult.TAKEN));
			if (!pending.isEmpty()) {
				this.group.pause(POLL_MILLIS);
			}
		}
		return pending.isEmpty() ? holdAndArm(ranks, prepare.version()) : SwitchOutcome.DROPPED;
	}

	// An unanswered order is repeated at once; otherwise its rank would only begin to
	// copy when the others are done. A rank that has nothing to copy is done immediately.
	private Optional<SwitchOutcome> beginCopies(List<Rank> ranks, MapOrder.Prepare prepare, List<Rank> copying) {
		List<Rank> unreached = ranks;
		for (int attempt = 0; attempt < REPEATS && !unreached.isEmpty(); attempt++) {
			List<OrderResult> results = give(unreached, prepare);
			Optional<SwitchOutcome> stopped = stoppedBy(results);
			if (stopped.isPresent()) {
				return stopped;
			}
			copying.addAll(without(unreached, results, Set.of(OrderResult.TAKEN, OrderResult.UNKNOWN)));
			unreached = without(unreached, results, Set.of(OrderResult.TAKEN, OrderResult.BEGUN));
		}
		copying.addAll(unreached);
		return Optional.empty();
	}

	// No rank may be armed before all are prepared: a new owner releases a held pass with
	// the old map if one is not.
	private List<Rank> unprepared(List<Rank> copying, long version) {
		this.group.pause(StepClock.REPORT_LAG_MILLIS);
		Set<Integer> prepared = this.group.reports()
			.stream()
			.filter((rank) -> rank.report().preparedVersion() == version)
			.map((rank) -> rank.report().rank())
			.collect(Collectors.toSet());
		return copying.stream().filter((rank) -> !prepared.contains(rank.report().rank())).toList();
	}

	private static Optional<SwitchOutcome> stoppedBy(List<OrderResult> results) {
		Optional<SwitchOutcome> lost = lostTo(results);
		boolean dropped = lost.isEmpty() && results.contains(OrderResult.UNFIT);
		return dropped ? Optional.of(SwitchOutcome.DROPPED) : lost;
	}

	private SwitchOutcome holdAndArm(List<Rank> ranks, long version) {
		Rank holder = this.group.holderOf(ranks);
		List<Rank> now = this.group.sample();
		if (formedAnew(ranks, now)) {
			return SwitchOutcome.FORMED_ANEW;
		}
		this.steps.observe(now);
		// Unanswered orders must be repeated, which takes time.
		int spare = (this.unanswered > 0) ? PASSES_FOR_REPEATS : 0;
		this.unanswered = 0;
		// If this process ends while a pass is held, the group waits for another owner.
		for (int attempt = 0; attempt < HOLD_TRIES && !this.group.leaving(); attempt++) {
			long step = this.steps.stepAhead(attempt) + spare;
			OrderResult held = untilAnswered(holder, new MapOrder.Hold(step), ranks);
			if (held == OrderResult.TAKEN) {
				return arm(ranks, holder, version, step);
			}
			if (held == OrderResult.FENCED) {
				return SwitchOutcome.FENCED;
			}
			if (held != OrderResult.UNFIT) {
				return SwitchOutcome.FORMED_ANEW;
			}
		}
		return SwitchOutcome.DROPPED;
	}

	/**
	 * Arms all ranks for a held pass and releases it.
	 * @param ranks all ranks of the group
	 * @param holder the rank that holds the pass
	 * @param version the map's version, prepared on all ranks
	 * @param step the pass
	 * @return the outcome
	 */
	SwitchOutcome arm(List<Rank> ranks, Rank holder, long version, long step) {
		List<Rank> pending = new ArrayList<>(ranks);
		for (int attempt = 1; !pending.isEmpty(); attempt++) {
			List<OrderResult> results = give(pending, new MapOrder.Arm(version, step));
			Optional<SwitchOutcome> lost = lostTo(results);
			if (lost.isPresent()) {
				return lost.get();
			}
			boolean check = results.contains(OrderResult.UNFIT) || attempt % TRIES_BEFORE_CHECK == 0;
			if (check && formedAnew(ranks, this.group.sample())) {
				return SwitchOutcome.FORMED_ANEW;
			}
			if (results.contains(OrderResult.UNFIT)) {
				return takeBack(ranks, holder, version, step);
			}
			if (!this.group.onDuty()) {
				return SwitchOutcome.FENCED;
			}
			pending = without(pending, results, Set.of(OrderResult.TAKEN));
			if (!pending.isEmpty()) {
				this.group.pause(RETRY_MILLIS);
			}
		}
		return release(ranks, holder, step, SwitchOutcome.RELEASED);
	}

	private SwitchOutcome takeBack(List<Rank> ranks, Rank holder, long version, long step) {
		List<Rank> pending = new ArrayList<>(ranks);
		for (int attempt = 1; !pending.isEmpty(); attempt++) {
			List<OrderResult> results = give(pending, new MapOrder.Disarm(version));
			Optional<SwitchOutcome> lost = lostTo(results);
			if (lost.isPresent()) {
				return lost.get();
			}
			// UNFIT means that the pass has begun with the new map.
			pending = without(pending, results, Set.of(OrderResult.TAKEN, OrderResult.UNFIT));
			if (attempt % TRIES_BEFORE_CHECK == 0 && formedAnew(ranks, this.group.sample())) {
				return SwitchOutcome.FORMED_ANEW;
			}
		}
		return release(ranks, holder, step, SwitchOutcome.TAKEN_BACK);
	}

	/**
	 * Releases a held pass.
	 * @param ranks all ranks of the group
	 * @param holder the rank that holds the pass
	 * @param step the pass
	 * @param outcome the outcome if the pass is released
	 * @return the outcome, or the reason why the pass could not be released
	 */
	SwitchOutcome release(List<Rank> ranks, Rank holder, long step, SwitchOutcome outcome) {
		this.releasedStep = step;
		OrderResult result = untilAnswered(holder, new MapOrder.Release(step), ranks);
		return switch (result) {
			case TAKEN, UNFIT -> outcome;
			case FENCED -> SwitchOutcome.FENCED;
			case RESTARTED, UNKNOWN, BEGUN -> SwitchOutcome.FORMED_ANEW;
		};
	}

	private OrderResult untilAnswered(Rank rank, MapOrder order, List<Rank> ranks) {
		for (int attempt = 1; this.group.onDuty(); attempt++) {
			OrderResult result = give(List.of(rank), order).get(0);
			if (result != OrderResult.UNKNOWN && result != OrderResult.BEGUN) {
				return result;
			}
			if (attempt % TRIES_BEFORE_CHECK == 0 && formedAnew(ranks, this.group.sample())) {
				return OrderResult.RESTARTED;
			}
			this.group.pause(RETRY_MILLIS);
		}
		return OrderResult.FENCED;
	}

	/**
	 * Returns the pass that was last released.
	 * @return the pass, {@link RankReport#NOT_HELD} if none was
	 */
	long releasedStep() {
		return this.releasedStep;
	}

	/**
	 * Completes or reverts an unfinished switch of another owner.
	 * @param ranks all ranks of the group
	 * @return the outcome, empty if there is no unfinished switch
	 */
	Optional<SwitchOutcome> recover(List<Rank> ranks) {
		Optional<Rank> holder = ranks.stream().filter((rank) -> rank.report().held()).findFirst();
		if (holder.isEmpty()) {
			return Optional.empty();
		}
		long step = holder.get().report().heldStep();
		if (step == this.releasedStep) {
			// The report is older than the release, or a delayed hold was executed again.
			return Optional.of(release(ranks, holder.get(), step, SwitchOutcome.RELEASED));
		}
		long version = ranks.stream().mapToLong((rank) -> rank.report().preparedVersion()).min().orElse(0);
		boolean preparedByAll = version != 0 && ranks.stream()
			.allMatch((rank) -> rank.report().preparedVersion() == version && rank.report().mapVersion() < version);
		if (preparedByAll) {
			return Optional.of(arm(ranks, holder.get(), version, step));
		}
		return Optional.of(release(ranks, holder.get(), step, SwitchOutcome.TAKEN_BACK));
	}

	private static Optional<SwitchOutcome> lostTo(List<OrderResult> results) {
		if (results.contains(OrderResult.FENCED)) {
			return Optional.of(SwitchOutcome.FENCED);
		}
		return results.contains(OrderResult.RESTARTED) ? Optional.of(SwitchOutcome.FORMED_ANEW) : Optional.empty();
	}

	private List<OrderResult> give(List<Rank> ranks, MapOrder order) {
		List<OrderResult> results = this.group.order(ranks, order);
		this.unanswered += (int) results.stream().filter((result) -> result == OrderResult.UNKNOWN).count();
		return results;
	}

	private static List<Rank> without(List<Rank> ranks, List<OrderResult> results, Set<OrderResult> done) {
		List<Rank> pending = new ArrayList<>();
		for (int i = 0; i < ranks.size(); i++) {
			if (!done.contains(results.get(i))) {
				pending.add(ranks.get(i));
			}
		}
		return pending;
	}

	private static boolean formedAnew(List<Rank> before, List<Rank> now) {
		long epoch = before.get(0).report().epoch();
		return now.stream()
			.max(Comparator.comparingLong((rank) -> rank.report().epoch()))
			.map((rank) -> rank.report().epoch() != epoch)
			.orElse(false);
	}

}
