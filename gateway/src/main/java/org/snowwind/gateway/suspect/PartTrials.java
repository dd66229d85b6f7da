package org.snowwind.gateway.suspect;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

import org.snowwind.model.MonotonicClock;
import org.snowwind.model.event.Event;
import org.snowwind.model.event.EventLog;

/**
 * Lets one request of one gateway at a time find out whether a part of prompts is
 * harmless: its answer clears the part, another end counts against it. This limits
 * requests with a part that was at many ends of servers at once and was never answered:
 * either the servers ended for another reason, or the part ended them all before any
 * gateway knew. And it admits one request with a blamed part whose other parts are not
 * suspected, since nothing else would show that the blame is false. Confined to the event
 * loop.
 */
final class PartTrials {

	/** The time for one trial, from the send until all gateways know how it ended. */
	static final long TURN_MILLIS = 2000;

	/** The time after the last end until requests are no longer limited. */
	static final long HOLD_MILLIS = 30_000;

	/** The time after the last end until a blamed part is tried, in milliseconds. */
	static final long BLAMED_PAUSE_MILLIS = 10_000;

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
		this.trials.keySet().removeIf((key) -> view.endsOf(key) == 0);
		List<String> onTrial = keys.stream().filter((key) -> view.isOnTrial(key) || view.isBlamed(key)).toList();
		if (!onTrial.stream().filter(view::isOnTrial).allMatch((key) -> hasTurn(key, trialOf(key, view)))) {
			EventLog.log(Event.PART_HELD_BACK, "request", request, "parts", onTrial);
			return false;
		}
		onTrial.forEach((key) -> takeTurn(key, view));
		return true;
	}

	/**
	 * Returns whether a request may try a blamed part now.
	 * @param blamed the part
	 * @param keys the parts of the prompt of the request
	 * @param view what is known of parts
	 * @return true if it may be sent
	 */
	boolean allowsTrial(String blamed, List<String> keys, PartView view) {
		if (!view.allowsTrial(blamed)
				|| !keys.stream().allMatch((key) -> key.equals(blamed) || view.endsOf(key) == 0)) {
			return false;
		}
		Trial trial = trialOf(blamed, view);
		return this.clock.nowMillis() - trial.sinceMillis >= BLAMED_PAUSE_MILLIS && ownsTurn(blamed, trial);
	}

	private Trial trialOf(String key, PartView view) {
		int ends = view.endsOf(key);
		return this.trials.compute(key, (same, trial) -> (trial != null && trial.ends == ends) ? trial
				: new Trial(ends, this.clock.nowMillis(), NO_TURN));
	}

	private boolean hasTurn(String key, Trial trial) {
		return isOver(trial) || ownsTurn(key, trial);
	}

	private boolean ownsTurn(String key, Trial trial) {
		return trial.lastTurn != turnOf(trial) && this.isFirst.test(key + " " + trial.ends + " " + turnOf(trial));
	}

	private boolean isOver(Trial trial) {
		return this.clock.nowMillis() - trial.sinceMillis > HOLD_MILLIS;
	}

	private long turnOf(Trial trial) {
		return (this.clock.nowMillis() - trial.sinceMillis) / TURN_MILLIS;
	}

	private void takeTurn(String key, PartView view) {
		Trial trial = trialOf(key, view);
		this.trials.put(key, new Trial(trial.ends, trial.sinceMillis, turnOf(trial)));
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
