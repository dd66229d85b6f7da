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
 * Reads which experts the ranks of a group have chosen, and notes it for all groups of
 * the service. Confined to the thread of its group, which it blocks.
 */
final class DemandReader {

	/**
	 * Of one rank in so many counts are read. A rank reads a prompt or two between two
	 * reads, which tell of a subject or two: enough where eight ranks share all requests,
	 * little where 96 do. They have their turns, since the group rests for each, and a
	 * stream is late by its longest pass: with four ranks read at once 811 streams were
	 * late by a pause within eight seconds, with turns 227, one run each.
	 */
	static final int RANKS_FOR_ONE_COUNTED = 24;

	/**
	 * For so long after passes have become much longer a read may show the move of demand
	 * that caused it, in milliseconds.
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
	 * Creates a reader that has read nothing.
	 * @param group the group's name
	 * @param profile how many experts there are
	 * @param calls reach the ranks
	 * @param demand takes what was chosen
	 * @param passJumpedMillis tells when passes have last become much longer at once
	 * @param clock tells the time
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
	 * Forgets what was read, since the ranks have begun to count anew.
	 */
	void formedAnew() {
		this.windows.clear();
		this.schedule.formedAnew();
		this.windowsBeganTogether = false;
		this.groupFormed = true;
	}

	/**
	 * Reads counts if it is time and no other group has.
	 * @param ranks the ranks of the group
	 */
	void read(List<Rank> ranks) {
		long nowMillis = this.clock.nowMillis();
		long othersMillis = this.demand.lastReadBy(this.group) ? Long.MIN_VALUE : this.demand.asOfMillis();
		List<Rank> counted = counted(ranks);
		boolean allowed = counted.stream().allMatch(this.calls::mayCall);
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

	// The windows of the other ranks began before demand moved, or none has begun. A
	// moment later all of them together tell what is wanted now, and nothing of before.
	private void beginWindowsAnew(List<Rank> counted) {
		long nowMillis = this.clock.nowMillis();
		chosen(counted, nowMillis);
		this.windowsBeganTogether = true;
		this.schedule.again(nowMillis);
	}

	// Always the same ranks, spread over the group: a window begins with the last read.
	// A rank that takes a limited rate is spared while another can tell.
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
