package org.snowwind.gateway.suspect;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Records which parts of prompts this gateway has seen answered, so that a part whose
 * requests are usually answered is not blamed. Bounded; safe for use by several threads.
 */
final class AnsweredParts {

	/** Parts whose last answer is the oldest are dropped beyond this number. */
	static final int MAX_PARTS = 4096;

	/** For each part the known rounds at the send of an answered request. */
	private final Map<String, Integer> rounds = new LinkedHashMap<>(MAX_PARTS, 0.75f, true) {

		private static final long serialVersionUID = 1L;

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Integer> eldest) {
			return size() > MAX_PARTS;
		}

	};

	/**
	 * Records the complete answer to a request with a part.
	 * @param part the part as it was when the request was sent
	 */
	synchronized void record(SuspectPart part) {
		this.rounds.merge(part.key(), part.knownRounds(), Math::max);
	}

	/**
	 * Returns the rounds of a part that an answer has cleared.
	 * @param key the part
	 * @return the known rounds at the send of an answered request; -1 without an answer
	 */
	synchronized int roundOf(String key) {
		Integer round = this.rounds.get(key);
		return (round != null) ? round : -1;
	}

}
