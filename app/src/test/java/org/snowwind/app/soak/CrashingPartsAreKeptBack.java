package org.snowwind.app.soak;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.snowwind.platform.standin.Run;

/**
 * Requests with a part in their prompts that has crashed five servers reach hardly any
 * more.
 */
final class CrashingPartsAreKeptBack implements SoakRule {

	/** The number of crashes from which on the part must be known. */
	static final int CRASHES = 5;

	private static final int MOST_RUNS = 3;

	/** The platform's bound from the last of these crashes until all gateways know. */
	static final long KNOWN_NANOS = TimeUnit.SECONDS.toNanos(3);

	@Override
	public List<String> broken(SoakHistory history) {
		return history.crashingPartUntil()
			.entrySet()
			.stream()
			.filter((part) -> lateRuns(history, part.getKey(), part.getValue()) > MOST_RUNS)
			.map((part) -> "requests with part " + part.getKey() + " ran "
					+ lateRuns(history, part.getKey(), part.getValue()) + " times after it had crashed five servers")
			.toList();
	}

	private static long lateRuns(SoakHistory history, String part, long untilNanos) {
		Map<String, Call> calls = history.callsById();
		List<Run> runs = runs(history, part).stream()
			.filter((run) -> run.atNanos() < untilNanos && calls.containsKey(run.requestId()))
			.toList();
		long fromNanos = fifthCrashNanos(runs);
		if (fromNanos == Long.MAX_VALUE) {
			return 0;
		}
		return runs.stream()
			.filter((run) -> run.atNanos() > fromNanos + KNOWN_NANOS
					&& isCalm(history, calls.get(run.requestId()).gateway(), run.atNanos())
					&& isCalm(history, Disturbance.STORE, run.atNanos()))
			.count();
	}

	private static boolean isCalm(SoakHistory history, String where, long atNanos) {
		return !history.disturbed(where, atNanos - KNOWN_NANOS, atNanos);
	}

	/**
	 * Lists the runs of requests with a part in their prompts.
	 * @param history what was seen
	 * @param part the id of the part
	 * @return the runs, the earliest first
	 */
	static List<Run> runs(SoakHistory history, String part) {
		return history.runs()
			.stream()
			.filter((run) -> run.sharedParts().contains(part))
			.sorted(Comparator.comparingLong(Run::atNanos))
			.toList();
	}

	/**
	 * Returns when a part crashed its fifth server.
	 * @param runs the runs of requests with the part, the earliest first
	 * @return the time, {@link Long#MAX_VALUE} if there were fewer crashes
	 */
	static long fifthCrashNanos(List<Run> runs) {
		Set<String> crashed = new HashSet<>();
		for (Run run : runs) {
			if (crashed.add(run.serverId()) && crashed.size() == CRASHES) {
				return run.atNanos();
			}
		}
		return Long.MAX_VALUE;
	}

}
