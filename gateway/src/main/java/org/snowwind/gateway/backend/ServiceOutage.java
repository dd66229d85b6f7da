package org.snowwind.gateway.backend;

import java.util.List;

/**
 * Tells that all servers of a service are known to reject requests: each backs off or is
 * in a group that is closed.
 *
 * @param total whether that is so
 * @param returnsMillis when each of the servers that back off may be sent requests again,
 * in milliseconds and in order; empty if none backs off
 */
public record ServiceOutage(boolean total, List<Long> returnsMillis) {

	/** A server of the service may take a request. */
	public static final ServiceOutage NONE = new ServiceOutage(false, List.of());

	static ServiceOutage of(List<Backend> serving, long nowMillis) {
		if (serving.isEmpty() || serving.stream().anyMatch((backend) -> isAvailable(backend, nowMillis))) {
			return NONE;
		}
		return new ServiceOutage(true,
				serving.stream()
					.map((backend) -> backend.notices().backoff())
					.filter((backoff) -> !backoff.admits(nowMillis))
					.map((backoff) -> backoff.nextMillis(nowMillis))
					.sorted()
					.toList());
	}

	private static boolean isAvailable(Backend backend, long nowMillis) {
		boolean closed = backend.group() != null && backend.group().closed();
		return !closed && backend.notices().backoff().admits(nowMillis);
	}

	/**
	 * Counts the servers that return in time.
	 * @param latestMillis the latest time that is in time, in milliseconds
	 * @return how many may be sent a request until then
	 */
	long returningBy(long latestMillis) {
		return this.returnsMillis.stream().filter((returnMillis) -> returnMillis <= latestMillis).count();
	}

	/**
	 * Returns how long it takes until the first server returns.
	 * @param nowMillis the time, in milliseconds
	 * @return the time, in milliseconds; 0 if it is not known
	 */
	public long millisToReturn(long nowMillis) {
		return this.returnsMillis.isEmpty() ? 0 : Math.max(1, this.returnsMillis.get(0) - nowMillis);
	}

}
