package org.snowwind.gateway.expert;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;

import org.snowwind.gateway.registry.BackendIncarnation;
import org.snowwind.gateway.table.EngineProfile;
import org.snowwind.model.MonotonicClock;
import org.snowwind.model.event.Event;
import org.snowwind.model.event.EventLog;

/**
 * Reads which experts the requests of a group have chosen, and records the demand for all
 * groups of the service. Confined to the thread of its group, which it blocks.
 */
final class DemandReader {

	/**
	 * The number of ranks for each rank whose counts are read. Between two reads a rank
	 * processes one or two prompts, which is too small a sample of the demand of a large
	 * group. Ranks are read in turn because the group pauses for each read, and a stream
	 * is late by its longest pause.
	 */
	static final int RANKS_FOR_ONE_COUNTED = 24;

	/**
	 * The time after a jump of the pass time in which a read may show the shift of demand
	 * that caused it, in milliseconds. It is longer than the interval between two reads
	 * of a rank, so the windows of all counted ranks that span the shift end within it.
	 */
	private static final long JUMP_MILLIS = 700;

	private final String group;

	private final EngineProfile profile;

	private final CountsPort calls;

	private final DemandBook demand;

	private final MonotonicClock clock;

	private final CountWindows windows = new CountWindows();

	private final LongSupplier passJumpedMillis;

	private final CountSchedule schedule = new CountSchedule();

	private int turn;

	private boolean windowsBeganTogether;

	private boolean groupFormed;

	/**
	 * Creates a reader.
	 * @param group the group's name
	 * @param profile the performance of the engines
	 * @param calls reads the counts of ranks
	 * @param demand records the choices
	 * @param passJumpedMillis supplies when the pass time last jumped
	 * @param clock the clock
	 */
	DemandReader(String group, EngineProfile profile, CountsPort calls, DemandBook demand,
			LongSupplier passJumpedMillis, MonotonicClock clock) {
		this.group = group;
		this.profile = profile;
		this.calls = calls;
		this.demand = demand;
		this.passJumpedMillis = passJumpedMillis;
		this.clock = clock;
	}

	/**
	 * Discards earlier counts after the group was formed anew.
	 */
	void formedAnew() {
		this.windows.clear();
		this.schedule.formedAnew();
		this.windowsBeganTogether = false;
		this.groupFormed = true;
	}

	/**
	 * Reads counts if a read is due and no other group has read recently.
	 * @param ranks the ranks of the group
	 */
	void read(List<Rank> ranks) {
		long nowMillis = this.clock.nowMillis();
		long othersMillis = this.demand.lastReadBy(this.group) ? Long.MIN_VALUE : this.demand.asOfMillis();
		List<Rank> counted = counted(ranks);
		boolean allowed = counted.stream().allMatch(this.calls::isCallAllowed);
		if (!allowed
				|| !this.schedule.due(nowMillis, this.passJumpedMillis.getAsLong(), othersMillis, counted.size())) {
			return;
		}
		boolean formed = this.groupFormed;
		this.groupFormed = false;
		if (formed && counted.size() > 1) {
			beginWindowsAnew(counted);
			return;
		}
		boolean all = this.windowsBeganTogether;
		this.windowsBeganTogether = false;
		List<long[][]> chosen = chosen(all ? counted : List.of(counted.get(this.turn++ % counted.size())), nowMillis);
		if (chosen.isEmpty()) {
			return;
		}
		if (all) {
			this.demand.replace(this.group, chosen, nowMillis);
		}
		else if (note(chosen, nowMillis) && counted.size() > 1) {
			beginWindowsAnew(counted);
		}
	}

	private List<long[][]> chosen(List<Rank> counted, long nowMillis) {
		List<Optional<RankCounts>> answers = this.calls.counts(counted);
		List<long[][]> chosen = new ArrayList<>();
		for (int i = 0; i < counted.size(); i++) {
			BackendIncarnation run = counted.get(i).run();
			answers.get(i)
				.map((counts) -> counts.bySet(this.profile.expertSets(), this.profile.experts()))
				.flatMap((counts) -> this.windows.since(run, counts, nowMillis))
				.ifPresent(chosen::add);
		}
		return chosen;
	}

	// The windows of the other ranks began before demand shifted, or none has begun. The
	// next read of all of them covers only the current demand.
	private void beginWindowsAnew(List<Rank> counted) {
		long nowMillis = this.clock.nowMillis();
		chosen(counted, nowMillis);
		this.windowsBeganTogether = true;
		this.schedule.again(nowMillis);
	}

	// Always the same ranks, because a window begins with the last read. A rank that
	// limits its request rate is replaced by another one.
	private List<Rank> counted(List<Rank> ranks) {
		List<Rank> counted = new ArrayList<>();
		for (int i = 0; i < ranks.size(); i += RANKS_FOR_ONE_COUNTED) {
			counted
				.add(this.calls.firstUnrestricted(ranks.subList(i, Math.min(i + RANKS_FOR_ONE_COUNTED, ranks.size()))));
		}
		return counted;
	}

	private boolean note(List<long[][]> chosen, long nowMillis) {
		long jumpedMillis = this.passJumpedMillis.getAsLong();
		boolean passesJumped = jumpedMillis != Long.MIN_VALUE && nowMillis - jumpedMillis <= JUMP_MILLIS;
		DemandBook.Move move = this.demand.add(this.group, chosen, passesJumped, nowMillis);
		if (move.moved()) {
			this.schedule.moved();
		}
		EventLog.log(move.moved() ? Event.DEMAND_MOVED : Event.DEMAND_READ, "group", this.group, "ranks", chosen.size(),
				"movedShare", Thousandths.of(move.share()), "threshold", Thousandths.of(move.threshold()),
				"passesJumped", passesJumped, "evidence", Math.round(this.demand.evidence()));
		return move.moved();
	}

}
