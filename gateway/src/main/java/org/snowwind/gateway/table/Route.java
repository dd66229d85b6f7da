package org.snowwind.gateway.table;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Where requests of one host below one path go, and how.
 *
 * @param name its name
 * @param host the host, lower case
 * @param pathPrefix the start of the path, with a slash at both ends
 * @param repeat how often its requests may run
 * @param timeoutMillis the longest that a caller is kept waiting, in milliseconds
 * @param targetMillis within which an answer or a stream's first event is on time, in
 * milliseconds
 * @param pauseTargetMillis the longest pause between events of a stream that is on time,
 * in milliseconds; 0 if it has none
 * @param priority its rank, 0 is the highest
 * @param maxAttempts how many servers may run one request
 * @param open whether requests need no key
 * @param resumable whether a stream may go on at another server
 * @param shares the services and their weights, at least one
 */
public record Route(String name, String host, String pathPrefix, Repeat repeat, long timeoutMillis, long targetMillis,
		long pauseTargetMillis, int priority, int maxAttempts, boolean open, boolean resumable, List<Share> shares) {

	/**
	 * Copies the shares.
	 */
	public Route {
		shares = List.copyOf(shares);
	}

	/**
	 * Tells whether a request may be sent again after it may have begun.
	 * @return true if it may
	 */
	public boolean repeatable() {
		return this.repeat == Repeat.IDEMPOTENT || (this.repeat == Repeat.STREAM && this.resumable);
	}

	/**
	 * Draws the service of one request by the weights.
	 * @param random the source of chance
	 * @return the service's name
	 */
	public String drawService(RandomGenerator random) {
		int total = this.shares.stream().mapToInt(Share::weight).sum();
		if (total <= 0) {
			return this.shares.get(0).service();
		}
		int drawn = random.nextInt(total);
		for (Share share : this.shares) {
			drawn -= share.weight();
			if (drawn < 0) {
				return share.service();
			}
		}
		throw new IllegalStateException("a number below the sum of weights falls into one of them");
	}

	/**
	 * One service of a route.
	 *
	 * @param service its name
	 * @param weight its part of the requests, relative to the others' weights
	 */
	public record Share(String service, int weight) {

	}

}
