package org.snowwind.gateway.table;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Defines which services handle the requests to one host and path prefix, and how these
 * requests are sent.
 *
 * @param name the name of the route
 * @param host the host, in lower case
 * @param pathPrefix the path prefix, with a slash at both ends
 * @param repeatPolicy whether its requests may run more than once
 * @param timeoutMillis the maximum time that a caller is kept waiting, in milliseconds
 * @param targetMillis the latency target of an answer or of a stream's first event, in
 * milliseconds
 * @param pauseTargetMillis the target for the maximum pause between events of a stream,
 * in milliseconds; 0 if there is none
 * @param priority the priority of its requests; 0 is the most urgent,
 * {@link RequestPriorities#NONE} if none is configured, {@link RequestPriorities#INVALID}
 * if the configured one is invalid
 * @param maxAttempts the maximum number of servers that may run one request
 * @param open whether requests need no key
 * @param resumable whether a stream may be resumed at another server
 * @param shares the services and their weights, at least one
 */
public record Route(String name, String host, String pathPrefix, RepeatPolicy repeatPolicy, long timeoutMillis,
		long targetMillis, long pauseTargetMillis, int priority, int maxAttempts, boolean open, boolean resumable,
		List<Share> shares) {

	/**
	 * Copies the shares.
	 */
	public Route {
		shares = List.copyOf(shares);
	}

	/**
	 * Returns whether a request may be sent again although a server may have begun to run
	 * it.
	 * @return true if the request may be repeated
	 */
	public boolean repeatable() {
		return this.repeatPolicy == RepeatPolicy.IDEMPOTENT
				|| (this.repeatPolicy == RepeatPolicy.STREAM && this.resumable);
	}

	/**
	 * Chooses the service of one request at random, in proportion to the weights.
	 * @param random the source of randomness
	 * @return the service's name
	 */
	public String chooseService(RandomGenerator random) {
		int total = this.shares.stream().mapToInt(Share::weight).sum();
		if (total <= 0) {
			return this.shares.get(0).service();
		}
		int remainder = random.nextInt(total);
		for (Share share : this.shares) {
			remainder -= share.weight();
			if (remainder < 0) {
				return share.service();
			}
		}
		throw new IllegalStateException("a number below the sum of the weights selects no service");
	}

	/**
	 * One service of a route.
	 *
	 * @param service the name of the service
	 * @param weight its share of the requests, relative to the weights of the others
	 */
	public record Share(String service, int weight) {

	}

}
