package org.snowwind.app.soak;

import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.snowwind.platform.standin.ServerArrival;

/**
 * Servers of an evacuated data centre get no requests from gateways that could know it.
 *
 * @param inForceMillis the time until an evacuation is in force, in milliseconds
 */
record EvacuatedServersGetNothing(long inForceMillis) implements SoakRule {

	/** The bound of the gateways' settings and as much again for a busy machine. */
	static final long SOAK_MILLIS = 2L * SoakGateway.EVACUATION_MILLIS;

	/** Beside the time that each disturbance itself allows for its aftermath. */
	private static final long CALM_NANOS = TimeUnit.SECONDS.toNanos(1);

	@Override
	public List<String> broken(SoakHistory history) {
		Map<String, Call> calls = history.callsById();
		return history.arrivals()
			.stream()
			.filter((arrival) -> calls.containsKey(arrival.requestId()))
			.flatMap((arrival) -> history.evacuations()
				.stream()
				.filter((evacuation) -> forbids(evacuation, arrival, calls.get(arrival.requestId()), history))
				.map((evacuation) -> calls.get(arrival.requestId()).describe() + " was sent to " + arrival.serverId()
						+ ", whose data centre " + evacuation.dataCentre() + " was evacuated "
						+ TimeUnit.NANOSECONDS.toMillis(arrival.atNanos() - evacuation.writtenNanos()) + " ms before"))
			.toList();
	}

	private boolean forbids(WrittenEvacuation evacuation, ServerArrival arrival, Call call, SoakHistory history) {
		long inForceNanos = TimeUnit.MILLISECONDS.toNanos(this.inForceMillis);
		long dueNanos = evacuation.writtenNanos() + inForceNanos;
		if (!evacuation.dataCentre().equals(arrival.dataCentre()) || arrival.atNanos() < dueNanos
				|| arrival.atNanos() >= evacuation.removedNanos()) {
			return false;
		}
		// A link to a server may deliver late what was sent in time.
		boolean sentInTime = call.sentNanos() < dueNanos
				&& history.disturbed(Disturbance.SERVERS, call.sentNanos(), arrival.atNanos());
		// What no gateway has seen can be lost with the store.
		boolean taken = isCalm(history, Disturbance.STORE, evacuation.writtenNanos(), dueNanos);
		boolean inTouch = isCalm(history, call.gateway(), evacuation.writtenNanos(), dueNanos)
				|| isCalm(history, call.gateway(), arrival.atNanos() - inForceNanos, arrival.atNanos());
		return !sentInTime && taken && inTouch;
	}

	private static boolean isCalm(SoakHistory history, String where, long fromNanos, long untilNanos) {
		return !history.disturbed(where, fromNanos - CALM_NANOS, untilNanos);
	}

}
