package org.snowwind.app.load;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Compares what callers saw with the effects that really happened.
 */
public final class PromiseCheck {

	private final List<CallRecord> records;

	private final Map<String, Integer> effects;

	/**
	 * Creates a check.
	 * @param records what callers saw
	 * @param effects how often each tag had its effect, over all back ends
	 */
	public PromiseCheck(List<CallRecord> records, Map<String, Integer> effects) {
		this.records = List.copyOf(records);
		this.effects = Map.copyOf(effects);
	}

	/**
	 * Adds up effects of several back ends.
	 * @param perBackend the effects of each
	 * @return the sums
	 */
	public static Map<String, Integer> sum(List<Map<String, Integer>> perBackend) {
		Map<String, Integer> sums = new HashMap<>();
		perBackend.forEach((effects) -> effects.forEach((tag, count) -> sums.merge(tag, count, Integer::sum)));
		return sums;
	}

	/**
	 * Counts the calls with an outcome.
	 * @param outcome the outcome
	 * @return a number of calls
	 */
	public long count(CallOutcome outcome) {
		return this.records.stream().filter((call) -> call.outcome() == outcome).count();
	}

	/**
	 * Lists the calls with other outcomes than an answer, for a report.
	 * @return a line for each
	 */
	public List<String> unanswered() {
		return this.records.stream()
			.filter((call) -> call.outcome() != CallOutcome.ANSWERED)
			.map(CallRecord::toString)
			.toList();
	}

	/**
	 * Counts charges that had their effect more than once.
	 * @return a number of charges
	 */
	public long duplicated() {
		return charges().filter((call) -> effectsOf(call) > 1).count();
	}

	/**
	 * Counts charges that were said not to have run and yet had their effect.
	 * @return a number of charges
	 */
	public long falselyNotRun() {
		return charges().filter((call) -> call.outcome() == CallOutcome.NOT_RUN && effectsOf(call) > 0).count();
	}

	/**
	 * Counts charges that were answered without having had their effect.
	 * @return a number of charges
	 */
	public long answeredWithoutEffect() {
		return charges().filter((call) -> call.outcome() == CallOutcome.ANSWERED && effectsOf(call) == 0).count();
	}

	/**
	 * Counts calls that ended after their budget.
	 * @return a number of calls
	 */
	public long late() {
		return this.records.stream().filter(CallRecord::late).count();
	}

	/**
	 * Lists the promises that were broken.
	 * @return one line for each, empty if all were kept
	 */
	public List<String> broken() {
		List<String> broken = new ArrayList<>();
		note(broken, count(CallOutcome.WRONG), "answers were mixed up or ended cleanly without being whole");
		note(broken, duplicated(), "charges ran more than once");
		note(broken, falselyNotRun(), "charges ran although their callers were told that they had not");
		note(broken, answeredWithoutEffect(), "charges were answered without having run");
		note(broken, late(), "calls ended after their budget");
		return broken;
	}

	private static void note(List<String> broken, long count, String what) {
		if (count > 0) {
			broken.add(count + " " + what);
		}
	}

	private java.util.stream.Stream<CallRecord> charges() {
		return this.records.stream().filter((call) -> call.kind() == CallKind.CHARGE);
	}

	private int effectsOf(CallRecord call) {
		return this.effects.getOrDefault(call.tag(), 0);
	}

}
