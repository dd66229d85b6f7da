package org.snowwind.gateway.expert;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;

import org.snowwind.balance.plan.ExpertPlacement;
import org.snowwind.gateway.registry.BackendEntry;
import org.snowwind.gateway.table.EngineProfile;
import org.snowwind.model.MonotonicClock;
import org.snowwind.model.duty.Pause;
import org.snowwind.model.event.Event;
import org.snowwind.model.event.EventLog;

/**
 * Adapts the expert map of a group to demand. Confined to one thread, which it blocks.
 */
final class GroupBalancer implements RankGroupPort {

	/** The interval between reports of a sample of ranks, in milliseconds. */
	private static final long REPORTS_MILLIS = 600;

	/** The interval between reports of all ranks, in milliseconds. */
	private static final long ALL_REPORTS_MILLIS = 5000;

	/**
	 * The same while the group makes no passes, in milliseconds. It may be idle, or a
	 * rank may hold a pass.
	 */
	private static final long ALL_REPORTS_IDLE_MILLIS = 1200;

	/**
	 * The same while a rank is missing, in milliseconds. A group that was formed anew has
	 * a map that does not fit demand.
	 */
	private static final long INCOMPLETE_MILLIS = 150;

	/**
	 * The minimum number of choices per counted rank for a plan.
	 */
	private static final double LEAST_EVIDENCE = 500;

	/** The minimum reduction of the skew that justifies a switch. */
	private static final double LEAST_GAIN = 0.4;

	/** The same while passes are short. */
	private static final double LEAST_GAIN_RELAXED = 0.6;

	/**
	 * The maximum time of a short pass, in milliseconds. It is half of a usual target.
	 */
	private static final double RELAXED_PASS_MILLIS = 60;

	/** The maximum wait for a released pass to begin, in milliseconds. */
	private static final long MOST_SWITCH_MILLIS = 400;

	/** The minimum length of a pause in which counts are read, in milliseconds. */
	private static final long READING_PAUSE_MILLIS = 100;

	/**
	 * The minimum number of calls to a rank in a switch: a report, two prepare orders and
	 * an arm order.
	 */
	private static final int CALLS_OF_A_SWITCH = 4;

	/** The safety factor on the predicted time of copies. */
	private static final double COPY_SLACK = 1.02;

	private final String name;

	private final EngineProfile profile;

	private final RankCalls calls;

	private final DemandBook demand;

	private final LongSupplier fence;

	private final VersionSource versions;

	private final MonotonicClock clock;

	private final SharedPlans plans;

	private final StepClock steps;

	private final MapSwitch mapSwitch;

	private final DemandReader reader;

	private volatile List<BackendEntry> members = List.of();

	private volatile boolean leaving;

	private ExpertPlacement placement;

	private long switchingTo;

	private long epoch = -1;

	private List<Rank> standing = List.of();

	private final RankSample turns = new RankSample();

	private long nextReportsMillis;

	private long lastAllMillis = Long.MIN_VALUE;

	private long plannedAsOfMillis = Long.MIN_VALUE;

	private boolean incomplete;

	/**
	 * Creates a balancer.
	 * @param name the group's name
	 * @param profile the performance of the engines
	 * @param calls calls the ranks
	 * @param demand the demand for experts
	 * @param reader reads the demand
	 * @param fence supplies the fencing token, 0 while this process does not have the
	 * duty
	 * @param versions assigns versions of maps
	 * @param plans plans maps of the service
	 * @param clock the clock
	 */
	GroupBalancer(String name, EngineProfile profile, RankCalls calls, DemandBook demand, DemandReader reader,
			LongSupplier fence, VersionSource versions, SharedPlans plans, MonotonicClock clock) {
		this.name = name;
		this.profile = profile;
		this.calls = calls;
		this.demand = demand;
		this.fence = fence;
		this.versions = versions;
		this.plans = plans;
		this.clock = clock;
		this.steps = new StepClock(clock);
		this.reader = reader;
		this.mapSwitch = new MapSwitch(this, this.steps, clock);
	}

	void members(List<BackendEntry> servers) {
		this.members = List.copyOf(servers);
	}

	/** Starts no more switches. A switch that holds a pass is completed. */
	void leave() {
		this.leaving = true;
	}

	/**
	 * Runs one round: completes an unfinished switch, reads counts, plans and switches.
	 */
	void round() {
		if (!onDuty() || (this.clock.nowMillis() >= this.nextReportsMillis && !look()) || this.standing.isEmpty()) {
			return;
		}
		this.reader.read(this.standing);
		if (this.demand.asOfMillis() != this.plannedAsOfMillis) {
			this.plannedAsOfMillis = this.demand.asOfMillis();
			improve();
		}
	}

	// Asks a sample of ranks for the state of the group, and all ranks if it has changed.
	private boolean look() {
		List<BackendEntry> asked = this.turns.of(this.members, this.calls.made());
		if (asked.size() < Math.min(RankSample.RANKS, this.members.size())) {
			// Ranks that limit their request rate may not be called now.
			this.nextReportsMillis = this.clock.nowMillis() + REPORTS_MILLIS;
			return !this.standing.isEmpty();
		}
		List<Rank> few = reports(asked);
		long lastStep = this.steps.step();
		if (!open(few)) {
			noteIncomplete(few);
			return false;
		}
		if (!asBefore(few)) {
			return lookAtAllIfAllowed();
		}
		this.steps.observe(few);
		boolean idle = this.steps.step() == lastStep;
		long allMillis = this.lastAllMillis + (idle ? ALL_REPORTS_IDLE_MILLIS : ALL_REPORTS_MILLIS);
		if (this.clock.nowMillis() >= allMillis && allMayBeSent(1)) {
			return lookAtAll();
		}
		noteSwitch(few);
		this.nextReportsMillis = this.clock.nowMillis() + REPORTS_MILLIS;
		return true;
	}

	private boolean open(List<Rank> ranks) {
		boolean enough = 2 * ranks.size() > Math.min(RankSample.RANKS, this.members.size());
		return enough && ranks.stream().map((rank) -> rank.report().epoch()).distinct().count() == 1
				&& ranks.stream().allMatch((rank) -> rank.report().open());
	}

	private boolean asBefore(List<Rank> few) {
		long token = this.fence.getAsLong();
		return !this.standing.isEmpty() && few.stream()
			.allMatch((rank) -> rank.report().epoch() == this.epoch && !rank.report().held()
					&& !this.versions.newer(token, rank.report().highestVersion()));
	}

	private boolean lookAtAllIfAllowed() {
		if (allMayBeSent(1)) {
			return lookAtAll();
		}
		believeNothing();
		return false;
	}

	private boolean allMayBeSent(int callsToEach) {
		return this.members.stream().allMatch((member) -> this.calls.made().allows(member.id(), callsToEach));
	}

	// Asks all ranks for their state and completes an unfinished switch.
	private boolean lookAtAll() {
		believeNothing();
		List<Rank> ranks = reports();
		if (!complete(ranks)) {
			noteIncomplete(ranks);
			return false;
		}
		this.incomplete = false;
		if (newerPlanner(ranks)) {
			return false;
		}
		this.steps.observe(ranks);
		noteSwitch(ranks);
		if (recover(ranks) || MapSwitch.differ(ranks)) {
			return false;
		}
		if (ranks.get(0).report().epoch() != this.epoch && !adopt(ranks)) {
			return false;
		}
		this.standing = ranks;
		this.lastAllMillis = this.clock.nowMillis();
		this.nextReportsMillis = this.lastAllMillis + REPORTS_MILLIS;
		return true;
	}

	private boolean complete(List<Rank> ranks) {
		return !ranks.isEmpty() && ranks.size() == ranks.get(0).report().size() && open(ranks);
	}

	private void believeNothing() {
		this.standing = List.of();
		this.nextReportsMillis = this.clock.nowMillis() + INCOMPLETE_MILLIS;
	}

	private void noteIncomplete(List<Rank> answered) {
		believeNothing();
		if (!this.incomplete) {
			int size = answered.isEmpty() ? 0 : answered.get(0).report().size();
			EventLog.log(Event.GROUP_INCOMPLETE, "group", this.name, "answered", answered.size(), "size", size);
		}
		this.incomplete = true;
	}

	// Ranks that do not check fencing tokens still report the versions of their maps.
	private boolean newerPlanner(List<Rank> ranks) {
		long token = this.fence.getAsLong();
		boolean newer = ranks.stream()
			.anyMatch((rank) -> this.versions.newer(token, rank.report().mapVersion())
					|| this.versions.newer(token, rank.report().preparedVersion()));
		if (newer && token != 0) {
			this.versions.fenced(token);
		}
		return newer;
	}

	private boolean adopt(List<Rank> ranks) {
		if (ranks.get(0).report().armedVersion() != 0) {
			return false;
		}
		Optional<List<List<List<Integer>>>> byRank = holdings(ranks);
		if (byRank.isEmpty()) {
			return false;
		}
		this.placement = Holdings.placementOf(byRank.get(), this.profile);
		this.switchingTo = 0;
		this.reader.formedAnew();
		this.steps.reset();
		this.epoch = ranks.get(0).report().epoch();
		EventLog.log(Event.GROUP_FORMED, "group", this.name, "epoch", this.epoch, "ranks", ranks.size(), "map",
				ranks.get(0).report().mapVersion());
		return true;
	}

	private Optional<List<List<List<Integer>>>> holdings(List<Rank> ranks) {
		List<List<List<Integer>>> byRank = new ArrayList<>();
		this.calls.holdings(ranks).forEach((answer) -> answer.ifPresent(byRank::add));
		return (byRank.size() == ranks.size()) ? Optional.of(byRank) : Optional.empty();
	}

	private boolean recover(List<Rank> ranks) {
		long releasedBefore = this.mapSwitch.releasedStep();
		Optional<SwitchOutcome> outcome = this.mapSwitch.recover(ranks);
		if (outcome.isEmpty()) {
			return false;
		}
		if (this.mapSwitch.releasedStep() == releasedBefore) {
			return outcome.get() != SwitchOutcome.RELEASED;
		}
		EventLog.log(Event.MAP_SWITCH_RECOVERED, "group", this.name, "outcome", outcome.get());
		this.epoch = -1;
		return true;
	}

	private void noteSwitch(List<Rank> ranks) {
		boolean switched = this.switchingTo != 0
				&& ranks.stream().allMatch((rank) -> rank.report().mapVersion() == this.switchingTo);
		if (switched) {
			EventLog.log(Event.MAP_SWITCHED, "group", this.name, "version", this.switchingTo, "passMillis",
					Math.round(this.steps.passMillis()));
			this.switchingTo = 0;
		}
	}

	// ---- plans

	private void improve() {
		int counted = 1 + (this.standing.size() - 1) / DemandReader.RANKS_FOR_ONE_COUNTED;
		if (this.demand.evidence() < LEAST_EVIDENCE * counted) {
			return;
		}
		double[][] expected = this.demand.demand();
		long plannedEpoch = this.epoch;
		ExpertPlacement current = this.placement;
		ExpertPlacement next = this.plans.plan(current, expected);
		double gain = current.skew(expected) - next.skew(expected);
		// A missed plan makes passes longer, but calls beyond the limit of a rank may
		// cause its failure.
		if (gain < leastGain() || !allMayBeSent(CALLS_OF_A_SWITCH) || !lookAtAll() || this.epoch != plannedEpoch) {
			return;
		}
		int copies = Holdings.mostCopies(current, next);
		long version = this.versions.next(this.fence.getAsLong());
		EventLog.log(Event.MAP_PLANNED, "group", this.name, "version", version, "skewBefore",
				Thousandths.of(this.placement.skew(expected)), "skewAfter", Thousandths.of(next.skew(expected)),
				"moves", next.movesFrom(this.placement), "mostCopies", copies, "passMillis",
				Math.round(this.steps.passMillis()), "evidence", Math.round(this.demand.evidence()));
		long copyMillis = Math.round(copies * this.profile.copyMillis() * COPY_SLACK);
		this.nextReportsMillis = 0;
		SwitchOutcome outcome = this.mapSwitch.run(this.standing,
				new MapOrder.Prepare(version, Holdings.bySetAndRank(next)), copyMillis);
		if (outcome == SwitchOutcome.RELEASED) {
			this.placement = next;
			this.switchingTo = version;
			// Ranks reject another map until the pass begins.
			pause(Math.min(MOST_SWITCH_MILLIS, this.steps.millisUntil(this.mapSwitch.releasedStep())));
			return;
		}
		if (outcome == SwitchOutcome.TAKEN_BACK) {
			this.epoch = -1;
		}
		EventLog.log(Event.MAP_SWITCH_DROPPED, "group", this.name, "version", version, "outcome", outcome);
	}

	// Short passes make no stream late, so copies must have a larger benefit.
	private double leastGain() {
		boolean relaxed = this.steps.passMillis() < RELAXED_PASS_MILLIS;
		return relaxed ? LEAST_GAIN_RELAXED : LEAST_GAIN;
	}

	// ---- the ranks

	@Override
	public List<Rank> reports() {
		return reports(this.members);
	}

	@Override
	public List<Rank> sample() {
		return reports(this.turns.of(this.members, this.calls.made()));
	}

	@Override
	public Rank holderOf(List<Rank> ranks) {
		return this.calls.firstUnrestricted(ranks);
	}

	@Override
	public Optional<MapOrder.Prepare> currentMap(List<Rank> ranks) {
		return holdings(ranks).map((byRank) -> new MapOrder.Prepare(this.versions.next(this.fence.getAsLong()),
				Holdings.combined(byRank, this.profile)));
	}

	private List<Rank> reports(List<BackendEntry> asked) {
		return this.calls.reports(asked)
			.stream()
			.filter((rank) -> this.name.equals(rank.report().group()))
			.sorted(Comparator.comparingInt((rank) -> rank.report().rank()))
			.toList();
	}

	@Override
	public List<OrderResult> order(List<Rank> ranks, MapOrder order) {
		long token = this.fence.getAsLong();
		if (token == 0) {
			return ranks.stream().map((rank) -> OrderResult.FENCED).toList();
		}
		List<OrderResult> results = this.calls.order(ranks, order, token);
		if (results.contains(OrderResult.FENCED)) {
			this.versions.fenced(token);
		}
		return results;
	}

	@Override
	public void pause(long millis) {
		long untilMillis = this.clock.nowMillis() + millis;
		// Counts that are read during long copies are available when they are done.
		while (untilMillis - this.clock.nowMillis() > READING_PAUSE_MILLIS) {
			Pause.millis(READING_PAUSE_MILLIS / 2);
			this.reader.read(this.standing);
		}
		Pause.millis(Math.max(0, untilMillis - this.clock.nowMillis()));
	}

	@Override
	public boolean onDuty() {
		return this.fence.getAsLong() != 0;
	}

	@Override
	public boolean leaving() {
		return this.leaving;
	}

	/**
	 * Assigns unique versions of maps.
	 */
	interface VersionSource {

		/**
		 * Assigns a new version.
		 * @param token the fencing token of the owner
		 * @return the version, which is higher than those of earlier owners
		 */
		long next(long token);

		/**
		 * Returns whether a version was assigned by a newer owner.
		 * @param token the fencing token of this owner
		 * @param version the version of a rank
		 * @return true if the version is of a higher token
		 */
		boolean newer(long token, long version);

		/**
		 * Records that a newer owner exists.
		 * @param token the rejected token
		 */
		void fenced(long token);

	}

}
