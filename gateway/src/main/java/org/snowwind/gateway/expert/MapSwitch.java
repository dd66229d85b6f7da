package org.snowwind.gateway.expert;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.snowwind.model.MonotonicClock;

/**
 * Switches all ranks of a group to a new map at the same pass.
 *
 * <p>
 * All ranks prepare the map, one rank holds a future pass, every rank is armed for that
 * pass, and the pass is released. No pass can begin with two maps, even if messages are
 * lost or delayed or two owners act at once, because of two rules. A held pass is
 * released only after every rank has confirmed that it is armed with the same map. A rank
 * is disarmed only after another rank that was not armed has prepared a newer map: the
 * switch to the older map can then no longer be completed, so no release of it is in
 * flight. A delayed order to arm a rank is rejected once the rank has prepared a newer
 * map.
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

	/**
	 * The maximum number of orders to a rank to prepare a common map. A rank that has
	 * prepared the map of a newer owner rejects all of them.
	 */
	private static final int CONVERGE_TRIES = 50;

	/**
	 * The maximum time of arming all ranks, in milliseconds. Ranks are then read again,
	 * which also shows whether there is a newer planner.
	 */
	private static final long ARM_MILLIS = 1000;

	/**
	 * The maximum distance from a held pass to the one that ranks are armed for, in
	 * passes.
	 */
	private static final int ARMED_AHEAD = 30;

	private static final long POLL_MILLIS = 40;

	private static final long RETRY_MILLIS = 15;

	/**
	 * The number of attempts after which ranks are asked whether the group still exists.
	 */
	private static final int TRIES_BEFORE_CHECK = 10;

	/**
	 * How long ranks must report different maps before they are given a common one, in
	 * milliseconds. Reports of a switch differ for less than their delay.
	 */
	private static final long DIFFERENT_MILLIS = 2 * StepClock.REPORT_LAG_MILLIS;

	private final RankGroupPort group;

	private final StepClock steps;

	private final MonotonicClock clock;

	/** The number of unanswered orders of the last switch. */
	private int unanswered;

	private long releasedStep = RankReport.NOT_HELD;

	private long releasedEpoch;

	private boolean different;

	private long differentSinceMillis;

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
		return pending.isEmpty() ? hold(ranks, (holder, step) -> arm(ranks, holder, prepare.version(), step))
				: SwitchOutcome.DROPPED;
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

	// A new owner reverts a switch to a map that is not prepared on all ranks.
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

	private SwitchOutcome hold(List<Rank> ranks, HeldPass next) {
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
				return next.complete(holder, step);
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
	 * Arms all ranks for a held pass and releases it. If a rank rejects that, all ranks
	 * are given a common map instead. If a rank does not answer within
	 * {@value #ARM_MILLIS} ms, the pass stays held: the rank may be armed or not, so the
	 * pass could begin with two maps. {@link #recover} then goes on once all ranks
	 * report.
	 * @param ranks all ranks of the group
	 * @param holder the rank that holds the pass
	 * @param version the map's version, prepared on all ranks
	 * @param step the pass
	 * @return the outcome
	 */
	SwitchOutcome arm(List<Rank> ranks, Rank holder, long version, long step) {
		SwitchOutcome outcome = armAll(ranks, holder, new MapOrder.Arm(version, step), SwitchOutcome.RELEASED);
		return (outcome == SwitchOutcome.UNSETTLED) ? converge(ranks, holder, step, Set.of(version)) : outcome;
	}

	private SwitchOutcome armAll(List<Rank> ranks, Rank holder, MapOrder.Arm arm, SwitchOutcome success) {
		List<Rank> pending = new ArrayList<>(ranks);
		long endMillis = this.clock.nowMillis() + ARM_MILLIS;
		for (int attempt = 1; !pending.isEmpty(); attempt++) {
			if (this.clock.nowMillis() >= endMillis) {
				return SwitchOutcome.UNREACHED;
			}
			List<OrderResult> results = give(pending, arm);
			boolean unfit = results.contains(OrderResult.UNFIT);
			Optional<SwitchOutcome> lost = lost(ranks, results, unfit || attempt % TRIES_BEFORE_CHECK == 0);
			if (lost.isPresent()) {
				return lost.get();
			}
			if (unfit) {
				return SwitchOutcome.UNSETTLED;
			}
			pending = without(pending, results, Set.of(OrderResult.TAKEN));
			if (!pending.isEmpty()) {
				this.group.pause(RETRY_MILLIS);
			}
		}
		return release(ranks, holder, arm.step(), success);
	}

	// Gives all ranks a common map while a pass is held. Some may be armed with another.
	private SwitchOutcome converge(List<Rank> ranks, Rank holder, long step, Set<Long> versions) {
		Optional<MapOrder.Prepare> map = this.group.currentMap(ranks);
		if (map.isEmpty()) {
			return SwitchOutcome.UNSETTLED;
		}
		MapOrder.Prepare prepare = map.get();
		Set<Long> older = olderVersions(ranks, prepare.version());
		older.addAll(versions);
		List<Rank> pending = ranks;
		List<Rank> refused = new ArrayList<>();
		boolean replaced = false;
		for (int attempt = 1; !pending.isEmpty(); attempt++) {
			if (attempt > CONVERGE_TRIES) {
				return SwitchOutcome.UNSETTLED;
			}
			List<OrderResult> results = give(pending, prepare);
			boolean check = attempt % TRIES_BEFORE_CHECK == 0;
			Optional<SwitchOutcome> lost = lost(ranks, results, check);
			if (lost.isPresent()) {
				return lost.get();
			}
			replaced = replaced || results.contains(OrderResult.TAKEN) || results.contains(OrderResult.BEGUN);
			refused.addAll(only(pending, results, OrderResult.UNFIT));
			pending = without(pending, results, Set.of(OrderResult.TAKEN, OrderResult.UNFIT));
			if (!replaced && refused.size() == ranks.size()) {
				return completeArmed(ranks, holder, step);
			}
			if (replaced && !refused.isEmpty()) {
				if (check) {
					older.addAll(olderVersions(this.group.reports(), prepare.version()));
				}
				disarm(refused, older);
				pending = new ArrayList<>(pending);
				pending.addAll(refused);
				refused.clear();
			}
			if (!pending.isEmpty()) {
				this.group.pause(RETRY_MILLIS);
			}
		}
		return armAll(ranks, holder, new MapOrder.Arm(prepare.version(), step), SwitchOutcome.TAKEN_BACK);
	}

	// The results do not matter: a rank that is still armed rejects the newer map again.
	private void disarm(List<Rank> ranks, Set<Long> versions) {
		versions.forEach((version) -> give(ranks, new MapOrder.Disarm(version)));
	}

	// All ranks are armed. The pass may be about to be released by another owner.
	private SwitchOutcome completeArmed(List<Rank> ranks, Rank holder, long step) {
		this.group.pause(StepClock.REPORT_LAG_MILLIS);
		List<Rank> now = this.group.reports();
		Set<Long> armed = now.stream().map((rank) -> rank.report().armedVersion()).collect(Collectors.toSet());
		if (now.size() != ranks.size() || armed.contains(0L) || formedAnew(ranks, now)) {
			return SwitchOutcome.UNSETTLED;
		}
		long newest = Collections.max(armed);
		if (armed.size() == 1) {
			return releaseArmed(ranks, holder, newest, step);
		}
		// The ranks with the newest version have replaced the others.
		armed.remove(newest);
		disarm(now.stream().filter((rank) -> rank.report().armedVersion() != newest).toList(), armed);
		return SwitchOutcome.UNSETTLED;
	}

	// The pass may be held by a late order, while all ranks are armed for a later one. An
	// order to arm that a rank rejects changes nothing, so its pass can be looked for.
	private SwitchOutcome releaseArmed(List<Rank> ranks, Rank holder, long version, long step) {
		for (long armedStep = step; armedStep < step + ARMED_AHEAD; armedStep++) {
			List<OrderResult> results = untilAllAnswered(ranks, new MapOrder.Arm(version, armedStep));
			Optional<SwitchOutcome> lost = lost(ranks, results, false);
			if (lost.isPresent()) {
				return lost.get();
			}
			if (results.stream().allMatch((result) -> result == OrderResult.TAKEN)) {
				return release(ranks, holder, step, SwitchOutcome.RELEASED);
			}
			if (results.stream().anyMatch((result) -> result != OrderResult.UNFIT)) {
				return SwitchOutcome.UNSETTLED;
			}
		}
		return SwitchOutcome.UNSETTLED;
	}

	private List<OrderResult> untilAllAnswered(List<Rank> ranks, MapOrder order) {
		List<OrderResult> results = give(ranks, order);
		for (int attempt = 1; attempt < REPEATS && results.contains(OrderResult.UNKNOWN); attempt++) {
			this.group.pause(RETRY_MILLIS);
			results = give(ranks, order);
		}
		return results;
	}

	private static Set<Long> olderVersions(List<Rank> ranks, long version) {
		return ranks.stream()
			.flatMap((rank) -> Stream.of(rank.report().armedVersion(), rank.report().preparedVersion()))
			.filter((known) -> known != 0 && known < version)
			.collect(Collectors.toCollection(HashSet::new));
	}

	private Optional<SwitchOutcome> lost(List<Rank> ranks, List<OrderResult> results, boolean check) {
		Optional<SwitchOutcome> lost = lostTo(results);
		if (lost.isPresent()) {
			return lost;
		}
		if (check && formedAnew(ranks, this.group.sample())) {
			return Optional.of(SwitchOutcome.FORMED_ANEW);
		}
		return this.group.onDuty() ? Optional.empty() : Optional.of(SwitchOutcome.FENCED);
	}

	/**
	 * Releases a held pass.
	 * @param ranks all ranks of the group
	 * @param holder the rank that holds the pass
	 * @param step the pass
	 * @param outcome the outcome if the pass is released
	 * @return the outcome, or the reason why the pass could not be released
	 */
	private SwitchOutcome release(List<Rank> ranks, Rank holder, long step, SwitchOutcome outcome) {
		this.releasedStep = step;
		this.releasedEpoch = holder.report().epoch();
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
	 * Completes or reverts an unfinished switch of another owner, and gives all ranks a
	 * common map if they have had different ones for some time.
	 * @param ranks all ranks of the group
	 * @return the outcome, empty if there is nothing to do
	 */
	Optional<SwitchOutcome> recover(List<Rank> ranks) {
		Optional<Rank> holder = ranks.stream()
			.filter((rank) -> rank.report().held())
			.min(Comparator.comparingLong((rank) -> rank.report().heldStep()));
		if (holder.isPresent()) {
			this.different = false;
			return Optional.of(finish(ranks, holder.get(), holder.get().report().heldStep()));
		}
		return areDifferent(ranks) ? Optional.of(unify(ranks)) : Optional.empty();
	}

	private SwitchOutcome finish(List<Rank> ranks, Rank holder, long step) {
		if (step == this.releasedStep && holder.report().epoch() == this.releasedEpoch) {
			// The report is older than the release, or a delayed hold was executed again.
			return release(ranks, holder, step, SwitchOutcome.RELEASED);
		}
		long version = ranks.stream().mapToLong((rank) -> rank.report().preparedVersion()).min().orElse(0);
		boolean preparedByAll = version != 0 && ranks.stream()
			.allMatch((rank) -> rank.report().preparedVersion() == version && rank.report().mapVersion() < version);
		return preparedByAll ? arm(ranks, holder, version, step) : converge(ranks, holder, step, Set.of());
	}

	private boolean areDifferent(List<Rank> ranks) {
		boolean before = this.different;
		this.different = differ(ranks);
		if (this.different && !before) {
			this.differentSinceMillis = this.clock.nowMillis();
		}
		return this.different && this.clock.nowMillis() - this.differentSinceMillis >= DIFFERENT_MILLIS;
	}

	/**
	 * Returns whether ranks have, or are armed with, different maps.
	 * @param ranks all ranks of the group
	 * @return true if a pass might begin with two maps
	 */
	static boolean differ(List<Rank> ranks) {
		return ranks.stream().map((rank) -> rank.report().mapVersion()).distinct().count() > 1
				|| ranks.stream().map((rank) -> rank.report().armedVersion()).distinct().count() > 1;
	}

	private SwitchOutcome unify(List<Rank> ranks) {
		this.different = false;
		if (ranks.stream().anyMatch((rank) -> rank.report().armedVersion() != 0)) {
			return hold(ranks, (holder, step) -> converge(ranks, holder, step, Set.of()));
		}
		return this.group.currentMap(ranks).map((map) -> run(ranks, map, 0)).orElse(SwitchOutcome.DROPPED);
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

	private static List<Rank> only(List<Rank> ranks, List<OrderResult> results, OrderResult wanted) {
		return IntStream.range(0, ranks.size()).filter((i) -> results.get(i) == wanted).mapToObj(ranks::get).toList();
	}

	private static boolean formedAnew(List<Rank> before, List<Rank> now) {
		long epoch = before.get(0).report().epoch();
		return now.stream()
			.max(Comparator.comparingLong((rank) -> rank.report().epoch()))
			.map((rank) -> rank.report().epoch() != epoch)
			.orElse(false);
	}

	/**
	 * What is done while a pass is held.
	 */
	@FunctionalInterface
	private interface HeldPass {

		SwitchOutcome complete(Rank holder, long step);

	}

}
