package org.snowwind.gateway.backend;

import java.util.List;

/**
 * The state of a service all of whose servers are known to reject requests. Each of them
 * backs off or is in a closed group.
 *
 * @param total whether all servers are known to reject requests
 * @param returnsMillis when each of the servers that back off may be sent requests again,
 * in milliseconds and in order; empty if none backs off
 */
public record ServiceOutage(boolean total, List<Long> returnsMillis) {

	/** No outage: a server of the service may accept a request. */
	public static final ServiceOutage NONE = new ServiceOutage(false, List.of());

	/** All servers reject requests, and none of them is known to return. */
	static final ServiceOutage WITHOUT_RETURN = new ServiceOutage(true, List.of());

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
		boolean closed = backend.group() != null && backend.group().isClosed();
		return !closed && backend.notices().backoff().admits(nowMillis);
	}

	/**
	 * Counts the servers whose backoff ends by a given time.
	 * @param latestMillis the time, in milliseconds
	 * @return how many of them may be sent a request by then
	 */
	long returningBy(long latestMillis) {
		return this.returnsMillis.stream().filter((returnMillis) -> returnMillis <= latestMillis).count();
	}

	/**
	 * Returns the time until the first backoff ends.
	 * @param nowMillis the time, in milliseconds
	 * @return the time, in milliseconds; 0 if it is not known
	 */
	public long millisToReturn(long nowMillis) {
		return this.returnsMillis.isEmpty() ? 0 : Math.max(1, this.returnsMillis.get(0) - nowMillis);
	}

}
