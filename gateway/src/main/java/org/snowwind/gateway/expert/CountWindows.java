package org.snowwind.gateway.expert;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.snowwind.gateway.registry.BackendIncarnation;

/**
 * Turns the running counts of ranks into what was chosen since each was last read.
 * Confined to one thread.
 */
final class CountWindows {

	/**
	 * What was chosen since longer ago, in milliseconds, may mix demand from before and
	 * after a move; twice the usual time between reads.
	 */
	private static final long MOST_SINCE_MILLIS = 1000;

	private final Map<BackendIncarnation, CountsRead> lastByRun = new HashMap<>();

	/**
	 * Forgets all reads, since the ranks have begun to count anew.
	 */
	void clear() {
		this.lastByRun.clear();
	}

	/**
	 * Takes the counts of a rank.
	 * @param run which life of the rank it is; another one counts from zero
	 * @param counts how often each expert was chosen since the rank began, by set and
	 * expert
	 * @param nowMillis the time, in milliseconds
	 * @return how often each was chosen since the last read, empty if there was none or
	 * it is too long ago
	 */
	Optional<long[][]> since(BackendIncarnation run, long[][] counts, long nowMillis) {
		CountsRead last = this.lastByRun.put(run, new CountsRead(counts, nowMillis));
		if (last == null || nowMillis - last.atMillis() > MOST_SINCE_MILLIS) {
			return Optional.empty();
		}
		long[][] chosen = new long[counts.length][];
		for (int set = 0; set < counts.length; set++) {
			chosen[set] = difference(counts[set], last.counts()[set]);
		}
		return Optional.of(chosen);
	}

	private static long[] difference(long[] now, long[] before) {
		long[] difference = new long[now.length];
		for (int expert = 0; expert < now.length; expert++) {
			// A rank that was restarted in between counts from zero.
			difference[expert] = Math.max(0, now[expert] - before[expert]);
		}
		return difference;
	}

	/**
	 * The counts of a rank when they were last read.
	 *
	 * @param counts how often each expert was chosen, by set and expert
	 * @param atMillis when they were read, in milliseconds
	 */
	private record CountsRead(long[][] counts, long atMillis) {

	}

}
