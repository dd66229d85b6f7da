package org.snowwind.gateway.request;

import java.util.random.RandomGenerator;

import org.snowwind.gateway.table.Repeat;
import org.snowwind.gateway.table.Route;

/**
 * How long a route's requests wait for what.
 *
 * @param stream whether the route's answers are streams
 * @param targetMillis within which an answer begins on time, in milliseconds
 */
record Timing(boolean stream, long targetMillis) {

	/**
	 * Callers abandon a stream that is silent for two seconds; a server that is silent
	 * for half of that is given up, so that another can still go on in time.
	 */
	private static final long STREAM_SILENCE_MILLIS = 1000;

	/** A repeatable plain request is sent elsewhere after this part of its time. */
	private static final double PLAIN_SHARE = 0.4;

	/**
	 * An engine that is full gets nothing more: it waits better where it can go
	 * elsewhere.
	 */
	private static final int WAITING_AT_ENGINE = 0;

	/** How many requests may wait at a plain server beyond those that run. */
	private static final int WAITING_AT_PLAIN = 6;

	/** The least time to come back and its spread, in parts of the target. */
	private static final double RETRY_LEAST = 1.2;

	private static final double RETRY_SPREAD = 1.6;

	/** Callers come back only if it takes less than a third of the time that is left. */
	private static final double RETRY_MOST = 0.325;

	/**
	 * The least part of that time where no server takes anything: a group that lost a
	 * rank is gone for seconds, and a caller who finds it closed again has no further
	 * try. Callers are spread by when they came.
	 */
	private static final double RETRY_CLOSED = 0.95;

	/** The spread of callers behind the return of a server, in parts of the target. */
	private static final double RETURN_SPREAD = 0.5;

	static Timing of(Route route) {
		return new Timing(route.repeat() == Repeat.STREAM, route.targetMillis());
	}

	int mayWait() {
		return this.stream ? WAITING_AT_ENGINE : WAITING_AT_PLAIN;
	}

	long firstByteMillis(long remainingMillis) {
		if (this.stream) {
			return STREAM_SILENCE_MILLIS;
		}
		return Math.max(this.targetMillis, (long) (PLAIN_SHARE * remainingMillis));
	}

	long pauseMillis() {
		return this.stream ? STREAM_SILENCE_MILLIS : 0;
	}

	/**
	 * Returns when a caller that is turned away should come back.
	 * @param remainingMillis the time that it has, in milliseconds
	 * @param allClosed whether no server takes anything now, which lasts for seconds
	 * @param queueMillis after which time a limited server could be sent the request, in
	 * milliseconds; 0 if that is not known
	 * @param random spreads the callers
	 * @return the time, in milliseconds
	 */
	long retryAfterMillis(long remainingMillis, boolean allClosed, long queueMillis, RandomGenerator random) {
		double most = RETRY_MOST * remainingMillis;
		if (allClosed) {
			return Math.max(1, (long) (most * (RETRY_CLOSED + (1 - RETRY_CLOSED) * random.nextDouble())));
		}
		double wanted = this.targetMillis * (RETRY_LEAST + RETRY_SPREAD * random.nextDouble());
		return Math.max(1, (long) Math.min(Math.max(wanted, queueMillis), most));
	}

	/**
	 * Returns when a caller should come back that is rejected since all servers back off.
	 * Callers are spread behind the return of the first server. One that would come back
	 * in vain is told the time all the same, not an earlier one.
	 * @param remainingMillis the time that it has, in milliseconds
	 * @param returnMillis in how long the first server returns, in milliseconds
	 * @param random spreads the callers
	 * @return the time, in milliseconds
	 */
	long returnMillis(long remainingMillis, long returnMillis, RandomGenerator random) {
		long wanted = returnMillis + (long) (this.targetMillis * RETURN_SPREAD * random.nextDouble());
		return (returnMillis >= remainingMillis) ? wanted
				: Math.max(1, Math.min(wanted, (long) (RETRY_MOST * remainingMillis)));
	}

}
