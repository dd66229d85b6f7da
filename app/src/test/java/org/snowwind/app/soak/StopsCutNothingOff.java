package org.snowwind.app.soak;

import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.snowwind.platform.standin.Run;

/**
 * A gateway that is told to stop, with nothing else wrong, answers each request that it
 * has sent to a server.
 *
 * <p>
 * Only an answer that has begun may be cut: at the end of its time, or if its request was
 * sent soon after the stop began and its server is still at work in the last part of the
 * grace.
 */
final class StopsCutNothingOff implements SoakRule {

	private static final int OK = 200;

	private static final long CALM_NANOS = TimeUnit.SECONDS.toNanos(3);

	/**
	 * Gateways end a request so much before its time does, and callers see it so late.
	 */
	private static final long ANSWER_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(30);

	/** Callers may reach a stopping gateway for so long; the platform's bound. */
	private static final long REACHED_NANOS = TimeUnit.SECONDS.toNanos(3);

	/** From then on a gateway may cut what it took in time; the platform's bound. */
	private static final long LAST_SIXTH_NANOS = TimeUnit.SECONDS.toNanos(SoakGateway.GRACE_SECONDS) * 5 / 6;

	@Override
	public List<String> broken(SoakHistory history) {
		Map<String, List<Run>> runs = history.runsByRequest();
		return history.calls()
			.stream()
			.filter((call) -> cutOff(history, call) && runs.containsKey(call.id()) && onlyStopped(history, call))
			.map((call) -> call.describe() + " was cut off")
			.toList();
	}

	private static boolean cutOff(SoakHistory history, Call call) {
		boolean begun = call.status() == OK && !call.whole();
		return call.status() == 0 || (begun && !timeEnded(call) && !excused(history, call));
	}

	/**
	 * Tells whether a request's time was over when it ended.
	 * @param call the request
	 * @return true if its gateway may have ended it for that
	 */
	static boolean timeEnded(Call call) {
		long allowedNanos = TimeUnit.MILLISECONDS.toNanos(call.kind().timeoutMillis()) - ANSWER_MARGIN_NANOS;
		return call.endedNanos() - call.sentNanos() >= allowedNanos;
	}

	/**
	 * Tells whether a request ended in the last part of the grace of its gateway.
	 * @param history what was seen
	 * @param call the request
	 * @return true if its gateway took it in time and may have cut its answer
	 */
	static boolean excused(SoakHistory history, Call call) {
		return history.disturbances()
			.stream()
			.filter((disturbance) -> disturbance.what().equals(SoakFaults.STOP)
					&& disturbance.touches(call.gateway(), call.sentNanos(), call.endedNanos()))
			.anyMatch((stop) -> call.sentNanos() - stop.fromNanos() <= REACHED_NANOS
					&& call.endedNanos() - stop.fromNanos() >= LAST_SIXTH_NANOS);
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
