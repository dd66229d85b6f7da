package org.snowwind.gateway.expert;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.snowwind.gateway.registry.BackendIncarnation;

/**
 * Converts the cumulative counts of ranks into the choices since the last read. Confined
 * to one thread.
 */
final class CountWindows {

	/**
	 * The maximum length of a window, in milliseconds. A longer one may contain choices
	 * from before and after a shift of demand.
	 */
	private static final long MOST_SINCE_MILLIS = 1000;

	private final Map<BackendIncarnation, CountsRead> lastByRun = new HashMap<>();

	/**
	 * Discards all reads.
	 */
	void clear() {
		this.lastByRun.clear();
	}

	/**
	 * Records the counts of a rank.
	 * @param run the incarnation of the rank; a new one counts from zero
	 * @param counts the number of choices since the rank started, by set and expert
	 * @param nowMillis the time, in milliseconds
	 * @return the number of choices since the last read, empty if there was none or it is
	 * too long ago
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
			// A rank that was restarted counts from zero.
			difference[expert] = Math.max(0, now[expert] - before[expert]);
		}
		return difference;
	}

	/**
	 * The counts of a rank at the last read.
	 *
	 * @param counts the number of choices, by set and expert
	 * @param atMillis when they were read, in milliseconds
	 */
	private record CountsRead(long[][] counts, long atMillis) {

	}

}
