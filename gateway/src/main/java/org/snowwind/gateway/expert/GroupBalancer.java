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
 * Follows the demand of one group with its expert map. Confined to one thread, which it
 * blocks.
 */
final class GroupBalancer implements RankGroupPort {

	/** How often a few ranks are asked for the state of the group, in milliseconds. */
	private static final long REPORTS_MILLIS = 600;

	/** How often all ranks are asked, in milliseconds. */
	private static final long ALL_REPORTS_MILLIS = 5000;

	/**
	 * The same while the group makes no passes, in milliseconds: it may have no work, or
	 * one rank may hold a pass.
	 */
	private static final long ALL_REPORTS_IDLE_MILLIS = 1200;

	/**
	 * The same while a rank is missing, in milliseconds: a group that is formed anew has
	 * a map that follows no demand until then.
	 */
	private static final long INCOMPLETE_MILLIS = 150;

	/**
	 * Below this many choices of each rank whose counts are read nothing is planned: one
	 * of several tells too little.
	 */
	private static final double LEAST_EVIDENCE = 500;

	/** A switch must take at least this much off the skew to be worth its copies. */
	private static final double LEAST_GAIN = 0.4;

	/** The same while passes are short; both measured, see docs/design/platform.md. */
	private static final double LEAST_GAIN_RELAXED = 0.6;

	/** A pass below this is short: half of the usual pause on time, in milliseconds. */
	private static final double RELAXED_PASS_MILLIS = 60;

	/** How long the begin of a released pass is waited for at most, in milliseconds. */
	private static final long MOST_SWITCH_MILLIS = 400;

	/** In a pause longer than this counts are read, in milliseconds. */
	private static final long READING_PAUSE_MILLIS = 100;

	/**
	 * What a rank is sent for a switch at least: a question for its state, the map, the
	 * question whether it has it, and the pass from which it holds.
	 */
	private static final int CALLS_OF_A_SWITCH = 4;

	/** How much longer than predicted copies are waited for before ranks are asked. */
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
	 * Creates a balancer that knows nothing of its group.
	 * @param name the group's name
	 * @param profile how fast its ranks are
	 * @param calls reach the ranks
	 * @param demand what experts are asked for
	 * @param reader reads it
	 * @param fence gives the fencing token, 0 while this process has no duty
	 * @param versions gives versions of maps
	 * @param plans plans for this group and those like it
	 * @param clock tells the time
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

	/** Begins no more switches; one that holds a pass goes on to its end. */
	void leave() {
		this.leaving = true;
	}

	/**
	 * Does one round: finishes what was left, reads counts, plans and switches.
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

	// Asks a few ranks for the state of the group, and all where something has changed.
	private boolean look() {
		List<BackendEntry> asked = this.turns.of(this.members, this.calls.made());
		if (asked.size() < Math.min(RankSample.RANKS, this.members.size())) {
			// Ranks that take a limited rate have been asked enough for now.
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

	// Asks all ranks for their state and finishes what was left.
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
		if (ranks.get(0).report().epoch() != this.epoch && !adopt(ranks)) {
			return false;
		}
		noteSwitch(ranks);
		if (recover(ranks)) {
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

	// Ranks that do not check tokens still tell which maps they were given.
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
		boolean settled = ranks.stream().map((rank) -> rank.report().mapVersion()).distinct().count() == 1
				&& ranks.stream().allMatch((rank) -> rank.report().armedVersion() == 0);
		if (recover(ranks) || !settled) {
			return false;
		}
		List<List<List<Integer>>> byRank = new ArrayList<>();
		for (Optional<List<List<Integer>>> holdings : this.calls.holdings(ranks)) {
			if (holdings.isEmpty()) {
				return false;
			}
			byRank.add(holdings.get());
		}
		this.placement = Holdings.placementOf(byRank, this.profile);
		this.switchingTo = 0;
		this.reader.formedAnew();
		this.steps.reset();
		this.epoch = ranks.get(0).report().epoch();
		EventLog.log(Event.GROUP_FORMED, "group", this.name, "epoch", this.epoch, "ranks", ranks.size(), "map",
				ranks.get(0).report().mapVersion());
		return true;
	}

	private boolean recover(List<Rank> ranks) {
		long releasedBefore = this.mapSwitch.releasedStep();
		Optional<SwitchOutcome> outcome = this.mapSwitch.recover(ranks);
		if (outcome.isEmpty() || this.mapSwitch.releasedStep() == releasedBefore) {
			return false;
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
		// A map that is not planned makes passes longer; orders that a rank in need does
		// not
		// bear may cost the group the rank.
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
			// Until the pass begins the ranks refuse another map.
			pause(Math.min(MOST_SWITCH_MILLIS, this.steps.millisUntil(this.mapSwitch.releasedStep())));
			return;
		}
		EventLog.log(Event.MAP_SWITCH_DROPPED, "group", this.name, "version", version, "outcome", outcome);
	}

	// A pass that is short as it is makes no stream late; copies would only cost.
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
		// Copies take long; what is read meanwhile is known when they are done.
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
	 * Gives versions of maps, which no other owner gives too.
	 */
	interface VersionSource {

		/**
		 * Gives a version that was never given.
		 * @param token the fencing token of the owner
		 * @return the version, higher than all of earlier owners
		 */
		long next(long token);

		/**
		 * Tells whether a version was given by a newer owner.
		 * @param token the own fencing token
		 * @param version a version that a rank has
		 * @return true if the version is of a higher token
		 */
		boolean newer(long token, long version);

		/**
		 * Takes note that a newer owner exists.
		 * @param token the token that was refused
		 */
		void fenced(long token);

	}

}
