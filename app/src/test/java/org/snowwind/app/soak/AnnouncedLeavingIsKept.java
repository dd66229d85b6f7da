package org.snowwind.app.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.snowwind.platform.standin.Departure;
import org.snowwind.platform.standin.ServerArrival;

/**
 * A server whose announcement that it is leaving a gateway has passed on gets nothing
 * from it that was sent two seconds later, also while the store is away.
 */
final class AnnouncedLeavingIsKept implements SoakRule {

	private static final long DRAIN_NANOS = TimeUnit.SECONDS.toNanos(2);

	@Override
	public List<String> broken(SoakHistory history) {
		Map<String, Call> calls = history.callsById();
		List<String> broken = new ArrayList<>();
		for (Departure departure : history.departures()) {
			Map<String, Long> told = toldNanos(history, departure);
			for (ServerArrival arrival : history.arrivals()) {
				Call call = calls.get(arrival.requestId());
				if (call == null || !arrival.serverId().equals(departure.serverId())) {
					continue;
				}
				Long toldNanos = told.get(call.gateway());
				boolean late = toldNanos != null && call.sentNanos() > toldNanos + DRAIN_NANOS;
				if (late && !history.disturbed(call.gateway(), toldNanos, arrival.atNanos())) {
					broken.add(call.describe() + " reached " + departure.serverId() + " "
							+ TimeUnit.NANOSECONDS.toMillis(call.sentNanos() - toldNanos)
							+ " ms after the gateway had passed on that it is leaving");
				}
			}
		}
		return broken;
	}

	private static Map<String, Long> toldNanos(SoakHistory history, Departure departure) {
		Map<String, Long> told = new HashMap<>();
		for (Call call : history.calls()) {
			boolean its = call.signature() != null && call.signature().startsWith(departure.serverId() + ".");
			if (its && call.sentNanos() > departure.atNanos()) {
				told.merge(call.gateway(), call.endedNanos(), Math::min);
			}
		}
		return told;
	}

}
