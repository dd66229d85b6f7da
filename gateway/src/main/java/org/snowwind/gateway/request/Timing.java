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

	/** The least and the spread of the time to come back, in parts of the target. */
	private static final double RETRY_LEAST = 0.4;

	private static final double RETRY_SPREAD = 0.8;

	/** Callers come back only if it takes less than a third of the time that is left. */
	private static final double RETRY_MOST = 0.3;

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

	long retryAfterMillis(long remainingMillis, RandomGenerator random) {
		double wanted = this.targetMillis * (RETRY_LEAST + RETRY_SPREAD * random.nextDouble());
		return Math.max(1, (long) Math.min(wanted, RETRY_MOST * remainingMillis));
	}

}
