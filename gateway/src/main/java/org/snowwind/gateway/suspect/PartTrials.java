package org.snowwind.gateway.suspect;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

import org.snowwind.model.MonotonicClock;
import org.snowwind.model.event.Event;
import org.snowwind.model.event.EventLog;

/**
 * Limits requests with a part in their prompts that was at many ends of servers at once
 * and was never answered. Either many servers ended for another reason, or the part ended
 * them all before any gateway knew. One request of one gateway at a time finds out: its
 * answer clears the part, another end blames it. Confined to the event loop.
 */
final class PartTrials {

	/** The time for one trial, from the send until all gateways know how it ended. */
	static final long TURN_MILLIS = 2000;

	/** The time after the last end until requests are no longer limited. */
	static final long HOLD_MILLIS = 30_000;

	private static final int NO_TURN = -1;

	private final Predicate<String> isFirst;

	private final MonotonicClock clock;

	private final Map<String, Trial> trials = new HashMap<>();

	/**
	 * Creates trials.
	 * @param isFirst whether this gateway ranks first among all for a text
	 * @param clock the monotonic clock
	 */
	PartTrials(Predicate<String> isFirst, MonotonicClock clock) {
		this.isFirst = isFirst;
		this.clock = clock;
	}

	/**
	 * Returns whether a request may be sent, which takes this gateway's turn for its
	 * parts.
	 * @param request the id of the request, for the log
	 * @param keys the parts of its prompt
	 * @param view what is known of parts
	 * @return false if another request is the trial
	 */
	boolean acquire(String request, List<String> keys, PartView view) {
		this.trials.keySet().removeIf((key) -> !view.isOnTrial(key));
		List<String> onTrial = keys.stream().filter(view::isOnTrial).toList();
		if (!onTrial.stream().allMatch((key) -> hasTurn(key, view.endsOf(key)))) {
			EventLog.log(Event.PART_HELD_BACK, "request", request, "parts", onTrial);
			return false;
		}
		onTrial.forEach(this::takeTurn);
		return true;
	}

	private boolean hasTurn(String key, int ends) {
		Trial trial = this.trials.get(key);
		if (trial == null || trial.ends != ends) {
			trial = new Trial(ends, this.clock.nowMillis(), NO_TURN);
			this.trials.put(key, trial);
		}
		return isOver(trial)
				|| (trial.lastTurn != turnOf(trial) && this.isFirst.test(key + " " + ends + " " + turnOf(trial)));
	}

	private boolean isOver(Trial trial) {
		return this.clock.nowMillis() - trial.sinceMillis > HOLD_MILLIS;
	}

	private long turnOf(Trial trial) {
		return (this.clock.nowMillis() - trial.sinceMillis) / TURN_MILLIS;
	}

	private void takeTurn(String key) {
		this.trials.computeIfPresent(key, (same, trial) -> new Trial(trial.ends, trial.sinceMillis, turnOf(trial)));
	}

	/**
	 * The trials of a part since its last end.
	 *
	 * @param ends the number of its ends
	 * @param sinceMillis when that number was learnt, in milliseconds
	 * @param lastTurn the last turn that this gateway has taken
	 */
	private record Trial(int ends, long sinceMillis, long lastTurn) {

	}

}
