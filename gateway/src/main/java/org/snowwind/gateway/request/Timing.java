package org.snowwind.gateway.request;

import java.util.random.RandomGenerator;

import org.snowwind.gateway.table.RepeatPolicy;
import org.snowwind.gateway.table.Route;

/**
 * Timeouts and retry delays of a route's requests.
 *
 * @param stream whether the route's responses are streams
 * @param targetMillis the target time until a response starts, in milliseconds
 */
record Timing(boolean stream, long targetMillis) {

	/**
	 * Callers abandon a stream that sends nothing for two seconds. A replacement is sent
	 * after half of that time, so that another server can still continue the stream in
	 * time.
	 */
	private static final long STREAM_SILENCE_MILLIS = 1000;

	/**
	 * A repeatable plain request is sent to another server, too, after this share of its
	 * remaining time, but not before the target time.
	 */
	private static final double PLAIN_FIRST_BYTE_SHARE = 0.4;

	/**
	 * A full engine is sent no more requests. A request waits in the gateway instead,
	 * where it can still be sent to another server.
	 */
	private static final int MAX_WAITING_AT_ENGINE = 0;

	/** How many requests may wait at a plain server in addition to those that run. */
	private static final int MAX_WAITING_AT_PLAIN = 6;

	/** The minimum retry delay and its random spread, as multiples of the target time. */
	private static final double MIN_RETRY_TARGET_SHARE = 1.2;

	private static final double RETRY_SPREAD_TARGET_SHARE = 1.6;

	/**
	 * The maximum retry delay as a share of the remaining time. Callers retry only if the
	 * delay is less than a third of their remaining time.
	 */
	private static final double MAX_RETRY_REMAINING_SHARE = 0.325;

	/**
	 * The minimum retry delay while no server accepts requests, as a share of the maximum
	 * delay. A group that lost a rank is unavailable for seconds, and a caller that finds
	 * it closed again has no further retry. The spread can be small because the arrival
	 * times of the callers already spread their retries.
	 */
	private static final double MIN_CLOSED_RETRY_SHARE = 0.95;

	/**
	 * The random spread of retries after the return of a server, as a multiple of the
	 * target time.
	 */
	private static final double RETURN_SPREAD_TARGET_SHARE = 0.5;

	static Timing of(Route route) {
		return new Timing(route.repeatPolicy() == RepeatPolicy.STREAM, route.targetMillis());
	}

	int maxWaitingAtServer() {
		return this.stream ? MAX_WAITING_AT_ENGINE : MAX_WAITING_AT_PLAIN;
	}

	/**
	 * Returns how long a server may be silent until another one is looked for.
	 * @param remainingMillis the time until the request's deadline, in milliseconds
	 * @return the limits
	 */
	Attempt.SilenceLimits silenceLimits(long remainingMillis) {
		if (this.stream) {
			return new Attempt.SilenceLimits(STREAM_SILENCE_MILLIS, STREAM_SILENCE_MILLIS);
		}
		return new Attempt.SilenceLimits(Math.max(this.targetMillis, (long) (PLAIN_FIRST_BYTE_SHARE * remainingMillis)),
				0);
	}

	/**
	 * Returns the delay after which a rejected caller should retry.
	 * @param remainingMillis the time until the request's deadline, in milliseconds
	 * @param allClosed whether no server accepts requests now, which lasts for seconds
	 * @param queueMillis the queueing delay until the request could be sent to a
	 * rate-limited server, in milliseconds; 0 if it is not known
	 * @param random spreads the retries
	 * @return the delay, in milliseconds
	 */
	long retryAfterMillis(long remainingMillis, boolean allClosed, long queueMillis, RandomGenerator random) {
		double maxMillis = MAX_RETRY_REMAINING_SHARE * remainingMillis;
		if (allClosed) {
			return Math.max(1,
					(long) (maxMillis * (MIN_CLOSED_RETRY_SHARE + (1 - MIN_CLOSED_RETRY_SHARE) * random.nextDouble())));
		}
		double delayMillis = this.targetMillis
				* (MIN_RETRY_TARGET_SHARE + RETRY_SPREAD_TARGET_SHARE * random.nextDouble());
		return Math.max(1, (long) Math.min(Math.max(delayMillis, queueMillis), maxMillis));
	}

	/**
	 * Returns the delay after which a caller should retry that is rejected because all
	 * servers back off. Retries are spread over a time after the first server returns. If
	 * that server does not return before the caller's deadline, the caller still gets the
	 * true delay and not a shorter one.
	 * @param remainingMillis the time until the request's deadline, in milliseconds
	 * @param returnMillis the time until the first server returns, in milliseconds
	 * @param random spreads the retries
	 * @return the delay, in milliseconds
	 */
	long retryAfterReturnMillis(long remainingMillis, long returnMillis, RandomGenerator random) {
		long delayMillis = returnMillis + (long) (this.targetMillis * RETURN_SPREAD_TARGET_SHARE * random.nextDouble());
		return (returnMillis >= remainingMillis) ? delayMillis
				: Math.max(1, Math.min(delayMillis, (long) (MAX_RETRY_REMAINING_SHARE * remainingMillis)));
	}

}
