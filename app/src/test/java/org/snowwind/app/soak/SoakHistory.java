package org.snowwind.app.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.snowwind.platform.standin.BackoffRequest;
import org.snowwind.platform.standin.Departure;
import org.snowwind.platform.standin.LimitChange;
import org.snowwind.platform.standin.Run;
import org.snowwind.platform.standin.ServerArrival;

/**
 * What callers, backend servers and the soak itself saw.
 *
 * @param calls all requests of callers
 * @param runs all runs at servers
 * @param disturbances all faults
 * @param drains when each server that left said so, by the id of its run
 * @param services the services that each kind of request was ever sent to
 * @param arrivals what has reached servers, run or not
 * @param limits the limits that servers have named
 * @param backoffs the rejections with {@code Retry-After}
 * @param departures the announcements of servers that they are leaving
 * @param configurations what the soak has written, in order
 * @param evacuations the evacuations that the soak has requested
 * @param crashingPartUntil when each part of prompts that crashed servers stopped doing
 * so
 */
record SoakHistory(List<Call> calls, List<Run> runs, List<Disturbance> disturbances, Map<String, Long> drains,
		Map<CallKind, Set<String>> services, List<ServerArrival> arrivals, List<LimitChange> limits,
		List<BackoffRequest> backoffs, List<Departure> departures, List<WrittenConfiguration> configurations,
		List<WrittenEvacuation> evacuations, Map<String, Long> crashingPartUntil) {

	Map<String, List<Run>> runsByRequest() {
		Map<String, List<Run>> byRequest = new HashMap<>();
		this.runs.forEach((run) -> byRequest.computeIfAbsent(run.requestId(), (id) -> new ArrayList<>()).add(run));
		return byRequest;
	}

	Map<String, Call> callsById() {
		Map<String, Call> byId = new HashMap<>();
		this.calls.forEach((call) -> byId.put(call.id(), call));
		return byId;
	}

	boolean disturbed(String where, long from, long until) {
		return this.disturbances.stream().anyMatch((disturbance) -> disturbance.touches(where, from, until));
	}

}
