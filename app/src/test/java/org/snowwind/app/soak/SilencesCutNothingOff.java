package org.snowwind.app.soak;

import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import org.snowwind.platform.standin.Run;

/**
 * A request that has reached a server which is only silent for a while, and goes on, gets
 * its whole answer unless its time ends first.
 *
 * <p>
 * The last part of the grace of a stop and other faults of servers or of its gateway's
 * process excuse it, faults of the store do not.
 */
final class SilencesCutNothingOff implements SoakRule {

	private static final long CALM_NANOS = TimeUnit.SECONDS.toNanos(3);

	/** Servers that leave end so long after they have said so, at the earliest. */
	private static final long LEAVING_NANOS = TimeUnit.SECONDS.toNanos(6);

	@Override
	public List<String> broken(SoakHistory history) {
		Map<String, List<Run>> runs = history.runsByRequest();
		return history.calls()
			.stream()
			.filter((call) -> cutOff(history, call)
					&& onlySilent(history, call, runs.getOrDefault(call.id(), List.of())))
			.map((call) -> call.describe() + " was cut off during a silence of servers")
			.toList();
	}

	private static boolean cutOff(SoakHistory history, Call call) {
		return !call.served() && call.kind() != CallKind.FATAL && !StopsCutNothingOff.timeEnded(call)
				&& !StopsCutNothingOff.excused(history, call);
	}

	private static boolean onlySilent(SoakHistory history, Call call, List<Run> runs) {
		long from = call.sentNanos() - CALM_NANOS;
		boolean silent = history.disturbed(Disturbance.SILENT_SERVERS, call.sentNanos(), call.endedNanos());
		boolean processRan = history.disturbances()
			.stream()
			.filter((disturbance) -> disturbance.touches(call.gateway(), from, call.endedNanos()))
			.noneMatch((disturbance) -> SoakFaults.PROCESS_FAULTS.contains(disturbance.what()));
		return silent && processRan && !history.disturbed(Disturbance.SERVERS, from, call.endedNanos())
				&& !runs.isEmpty() && runs.stream().noneMatch((run) -> hadLeft(history, run, call.endedNanos()));
	}

	private static boolean hadLeft(SoakHistory history, Run run, long atNanos) {
		Stream<Long> announced = history.departures()
			.stream()
			.filter((departure) -> departure.serverId().equals(run.serverId()))
			.map((departure) -> departure.atNanos());
		Stream<Long> drained = Stream.ofNullable(history.drains().get(run.serverId()));
		return Stream.concat(announced, drained).anyMatch((sinceNanos) -> atNanos - sinceNanos >= LEAVING_NANOS);
	}

}
