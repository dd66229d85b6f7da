package org.snowwind.app.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import org.snowwind.platform.standin.BackoffRequest;
import org.snowwind.platform.standin.ServerArrival;

/**
 * A server that has answered a gateway 503 with {@code Retry-After} gets at most two
 * requests from it before that time is over.
 */
final class RetryAfterIsKept implements SoakRule {

	private static final int ALLOWED = 2;

	/** Requests that were on their way do not count for so long. */
	private static final long ON_THE_WAY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	private static final double NANOS_PER_SECOND = 1e9;

	@Override
	public List<String> broken(SoakHistory history) {
		Map<String, Call> calls = history.callsById();
		Map<String, List<ServerArrival>> arrivals = history.arrivals()
			.stream()
			.filter((arrival) -> calls.containsKey(arrival.requestId()))
			.collect(Collectors.groupingBy((arrival) -> key(arrival.serverId(), calls.get(arrival.requestId()))));
		List<String> broken = new ArrayList<>();
		for (BackoffRequest backoff : history.backoffs()) {
			Call told = calls.get(backoff.requestId());
			if (told == null) {
				continue;
			}
			long fromNanos = backoff.atNanos() + ON_THE_WAY_NANOS;
			long untilNanos = backoff.atNanos() + (long) (backoff.retryAfterSeconds() * NANOS_PER_SECOND);
			long arrived = arrivals.getOrDefault(key(backoff.serverId(), told), List.of())
				.stream()
				.filter((arrival) -> arrival.atNanos() > fromNanos && arrival.atNanos() < untilNanos)
				.count();
			if (arrived > ALLOWED && !history.disturbed(told.gateway(), backoff.atNanos(), untilNanos)) {
				broken.add(backoff.serverId() + " asked " + told.gateway() + " for " + backoff.retryAfterSeconds()
						+ " s without requests and got " + arrived);
			}
		}
		return broken;
	}

	private static String key(String server, Call call) {
		return server + " from " + call.gateway();
	}

}
