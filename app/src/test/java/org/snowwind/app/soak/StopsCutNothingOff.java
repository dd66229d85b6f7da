package org.snowwind.app.soak;

import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.snowwind.platform.standin.Run;

/**
 * A gateway that is told to stop, with nothing else wrong, answers each request that it
 * has sent to a server.
 */
final class StopsCutNothingOff implements SoakRule {

	private static final long CALM_NANOS = TimeUnit.SECONDS.toNanos(3);

	@Override
	public List<String> broken(SoakHistory history) {
		Map<String, List<Run>> runs = history.runsByRequest();
		return history.calls()
			.stream()
			.filter((call) -> call.status() == 0 && runs.containsKey(call.id()) && onlyStopped(history, call))
			.map((call) -> call.describe() + " was cut off")
			.toList();
	}

	private static boolean onlyStopped(SoakHistory history, Call call) {
		long from = call.sentNanos() - CALM_NANOS;
		boolean otherwiseCalm = !history.disturbed(Disturbance.SERVERS, from, call.endedNanos())
				&& history.disturbances()
					.stream()
					.filter((disturbance) -> disturbance.touches(call.gateway(), from, call.endedNanos()))
					.allMatch((disturbance) -> disturbance.what().equals(SoakFaults.STOP));
		return otherwiseCalm && history.disturbed(call.gateway(), call.sentNanos(), call.endedNanos());
	}

}
