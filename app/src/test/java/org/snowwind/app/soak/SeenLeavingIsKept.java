package org.snowwind.app.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.snowwind.platform.standin.Run;

/**
 * A server whose leaving a gateway has seen gets nothing new from it, whatever happens to
 * the store later.
 */
final class SeenLeavingIsKept implements SoakRule {

	/** The platform's bound and as much again for a busy machine. */
	private static final long SEEN_NANOS = TimeUnit.SECONDS.toNanos(4);

	private static final long CALM_NANOS = TimeUnit.SECONDS.toNanos(6);

	@Override
	public List<String> broken(SoakHistory history) {
		Map<String, Call> calls = history.callsById();
		List<String> lines = new ArrayList<>();
		for (Run run : history.runs()) {
			Long drained = history.drains().get(run.serverId());
			Call call = calls.get(run.requestId());
			if (drained == null || call == null || call.sentNanos() < drained + SEEN_NANOS) {
				continue;
			}
			boolean seen = !history.disturbed(Disturbance.STORE, drained - CALM_NANOS, drained + SEEN_NANOS)
					&& !history.disturbed(call.gateway(), drained - CALM_NANOS, run.atNanos());
			if (seen) {
				lines.add(call.describe() + " was sent to " + run.serverId() + ", which its gateway saw leaving "
						+ TimeUnit.NANOSECONDS.toMillis(run.atNanos() - drained) + " ms before");
			}
		}
		return lines;
	}

}
