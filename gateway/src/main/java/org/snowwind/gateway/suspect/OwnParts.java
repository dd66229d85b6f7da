package org.snowwind.gateway.suspect;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

import org.snowwind.decide.blame.PartEnd;

/**
 * The evidence of this gateway on parts of prompts, bounded in number and time. Confined
 * to one thread at a time.
 */
final class OwnParts {

	/** The maximum number of ends of one organisation, so that others keep their room. */
	static final int MAX_OF_ORGANISATION = 256;

	/** The maximum number of ends, and of parts with an answer. */
	static final int MAX_ENTRIES = 512;

	private final AnsweredParts answered;

	private final Map<PartEvidence.EndKey, Kept> ends = new LinkedHashMap<>();

	private final Map<String, Answer> answers = new LinkedHashMap<>();

	/**
	 * Creates an empty collection.
	 * @param answered the parts that this gateway has seen answered, whose ends say least
	 */
	OwnParts(AnsweredParts answered) {
		this.answered = answered;
	}

	void adopt(PartEvidence evidence, long nowMillis) {
		evidence.ends().forEach((end) -> add(end, nowMillis));
		evidence.answeredRounds().forEach((part, round) -> answered(part, round, nowMillis));
	}

	boolean add(PartEnd end, long nowMillis) {
		PartEvidence.EndKey key = PartEvidence.EndKey.of(end);
		Kept before = this.ends.get(key);
		if (before != null) {
			Kept joined = new Kept(PartEvidence.earlier(before.end, end), before.sinceMillis);
			this.ends.put(key, joined);
			return !joined.end.equals(before.end);
		}
		this.ends.put(key, new Kept(end, nowMillis));
		dropExcess((kept) -> kept.end.organisation().equals(end.organisation()), MAX_OF_ORGANISATION);
		dropExcess((kept) -> true, MAX_ENTRIES);
		return true;
	}

	// A caller can make up any number of parts, but each of them has a single end.
	private void dropExcess(Predicate<Kept> which, int max) {
		List<Kept> matching = this.ends.values().stream().filter(which).toList();
		if (matching.size() > max) {
			Map<String, Integer> counts = new HashMap<>();
			matching.forEach((kept) -> counts.merge(kept.end.part(), 1, Integer::sum));
			Kept dropped = matching.stream()
				.min(Comparator.<Kept, Boolean>comparing((kept) -> counts.get(kept.end.part()) > 1)
					.thenComparing((kept) -> this.answered.roundOf(kept.end.part()) < 0))
				.orElseThrow();
			this.ends.remove(PartEvidence.EndKey.of(dropped.end));
		}
	}

	void answered(String part, int round, long nowMillis) {
		Answer before = this.answers.remove(part);
		this.answers.put(part, new Answer((before != null) ? Math.max(before.round, round) : round, nowMillis));
		if (this.answers.size() > MAX_ENTRIES) {
			this.answers.remove(this.answers.keySet().iterator().next());
		}
	}

	/**
	 * Drops old evidence.
	 * @param isBlamed whether a part is blamed
	 * @param nowMillis the time, in milliseconds
	 * @return whether anything was dropped
	 */
	boolean forget(Predicate<String> isBlamed, long nowMillis) {
		boolean forgotten = this.ends.values().removeIf((kept) -> {
			long keepMillis = isBlamed.test(kept.end.part()) ? OwnSuspects.KEEP_BLAMED_MILLIS : OwnSuspects.KEEP_MILLIS;
			return nowMillis - kept.sinceMillis > keepMillis;
		});
		// Answers must outlast the ends that they clear.
		return this.answers.values()
			.removeIf((answer) -> nowMillis - answer.sinceMillis > OwnSuspects.KEEP_BLAMED_MILLIS) || forgotten;
	}

	PartEvidence evidence() {
		Map<String, Integer> rounds = new LinkedHashMap<>();
		this.answers.forEach((part, answer) -> rounds.put(part, answer.round));
		return new PartEvidence(this.ends.values().stream().map(Kept::end).toList(), Map.copyOf(rounds));
	}

	/**
	 * An end and since when it is kept.
	 *
	 * @param end the end
	 * @param sinceMillis since when, in milliseconds
	 */
	private record Kept(PartEnd end, long sinceMillis) {

	}

	/**
	 * An answer and since when it is kept.
	 *
	 * @param round the known rounds at the send of the answered request
	 * @param sinceMillis since when, in milliseconds
	 */
	private record Answer(int round, long sinceMillis) {

	}

}
