package org.snowwind.app.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.snowwind.platform.standin.Run;

/**
 * A server that said it leaves gets nothing new after two seconds from gateways that
 * could know.
 */
final class LeavingServersGetNothing implements SoakRule {

	/** The platform's bound and as much again for a busy machine. */
	private static final long MOST_NANOS = TimeUnit.SECONDS.toNanos(4);

	/** How long before, nothing may have been wrong with the store or the gateway. */
	private static final long CALM_NANOS = TimeUnit.SECONDS.toNanos(6);

	@Override
	public List<String> broken(SoakHistory history) {
		Map<String, Call> calls = history.callsById();
		List<String> lines = new ArrayList<>();
		for (Run run : history.runs()) {
			Long drained = history.drains().get(run.serverId());
			Call call = calls.get(run.requestId());
			boolean late = drained != null && call != null && run.atNanos() - drained > MOST_NANOS
					&& call.sentNanos() > drained;
			if (late && calm(history, call, drained, run)) {
				lines.add(call.describe() + " was sent to " + run.serverId() + ", which was leaving for "
						+ TimeUnit.NANOSECONDS.toMillis(run.atNanos() - drained) + " ms");
			}
		}
		return lines;
	}

	private static boolean calm(SoakHistory history, Call call, long drained, Run run) {
		return !history.disturbed(Disturbance.STORE, drained - CALM_NANOS, run.atNanos())
				&& !history.disturbed(call.gateway(), drained - CALM_NANOS, run.atNanos());
	}

}
