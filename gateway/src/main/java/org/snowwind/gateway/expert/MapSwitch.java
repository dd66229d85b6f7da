package org.snowwind.gateway.expert;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.snowwind.model.MonotonicClock;

/**
 * Brings all ranks of a group to a new map at the same pass.
 *
 * <p>
 * All ranks prepare; then one rank is told to hold a pass a little ahead; then every rank
 * is armed for that pass; then the pass is released. No pass can begin with two maps,
 * whatever is lost or late: between the first armed rank and the last, the pass is held,
 * and it is released only once every rank has confirmed. An order that is carried out
 * late finds its pass begun, and the rank refuses it. Who takes over from another owner
 * finishes the switch in the same direction, since an order of the other may still be
 * under way.
 */
final class MapSwitch {

	/** How often ranks are told to prepare, and so asked whether they have. */
	private static final int PREPARE_TRIES = 25;

	/** How often an order to copy is given to ranks that do not answer. */
	private static final int REPEATS = 4;

	/**
	 * How many passes further ahead a pass is held where orders go unanswered. With one
	 * in ten unanswered, 12 ranks have a map in force 715 ms after it was planned, of
	 * which the group stands still for 4; one pass made it 642 and 21, but a pass that is
	 * held makes all streams of the group late.
	 */
	private static final int PASSES_FOR_REPEATS = 3;

	/** How many passes are tried to be held; each is further ahead. */
	private static final int HOLD_TRIES = 6;

	private static final long POLL_MILLIS = 40;

	private static final long RETRY_MILLIS = 15;

	/** After so many tries ranks are asked whether the group still stands. */
	private static final int TRIES_BEFORE_CHECK = 10;

	private final RankGroupPort group;

	private final StepClock steps;

	private final MonotonicClock clock;

	/** How many orders of the last switch got no answer. */
	private int unanswered;

	private long releasedStep = RankReport.NOT_HELD;

	/**
	 * Creates a switch.
	 * @param group the ranks
	 * @param steps predicts which pass the group is at
	 * @param clock tells the time
	 */
	MapSwitch(RankGroupPort group, StepClock steps, MonotonicClock clock) {
		this.group = group;
		this.steps = steps;
		this.clock = clock;
	}

	/**
	 * Brings all ranks to a new map.
	 * @param ranks all ranks of the group
	 * @param prepare the map
	 * @param copyMillis how long the longest copy should take, in milliseconds
	 * @return how it ended
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
		// Ranks tell whether they are prepared when they are sent the map again, or in
		// their reports, which are old. The map of a large group takes long to send.
		if (tellMillis > StepClock.REPORT_LAG_MILLIS) {
			pending = unprepared(pending, prepare.version());
		}
		for (int attempt = 0; attempt < PREPARE_TRIES && !pending.isEmpty(); attempt++) {
			// The same order again tells whether the copies are done.
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

	// An order that got no answer is given again before anything is waited for: else its
	// rank would begin to copy when the others are done. A rank that has nothing to copy
	// says at once that it is done, and is not asked again.
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

	// No rank may be armed before all are prepared: a planner that takes over lets a held
	// pass begin with the old map if one is not.
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
		// Where orders go unanswered some must be given twice, which takes passes.
		int spare = (this.unanswered > 0) ? PASSES_FOR_REPEATS : 0;
		this.unanswered = 0;
		// A pass that is held while this process ends stands still until another planner
		// finds it.
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
	 * @return how it ended
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
			// Unfit means that the pass has begun after all, and with it the map.
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
	 * @param outcome what a release means
	 * @return the outcome, or that the duty or the group is lost
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
	 * Returns the pass that was released last.
	 * @return the pass, {@link RankReport#NOT_HELD} if none was
	 */
	long releasedStep() {
		return this.releasedStep;
	}

	/**
	 * Finishes or frees what another owner has left half done.
	 * @param ranks all ranks of the group
	 * @return how it ended, empty if nothing was left
	 */
	Optional<SwitchOutcome> recover(List<Rank> ranks) {
		Optional<Rank> holder = ranks.stream().filter((rank) -> rank.report().held()).findFirst();
		if (holder.isEmpty()) {
			return Optional.empty();
		}
		long step = holder.get().report().heldStep();
		if (step == this.releasedStep) {
			// The report is older than the release, or the hold was carried out again,
			// late.
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
