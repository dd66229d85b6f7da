package org.snowwind.entry;

import java.util.function.BooleanSupplier;

import org.snowwind.decide.stop.StopSchedule;
import org.snowwind.entry.request.CallerHandler;
import org.snowwind.http.DataLoop;
import org.snowwind.http.server.HttpServer;
import org.snowwind.model.MonotonicClock;
import org.snowwind.model.duty.Pause;
import org.snowwind.model.event.Event;
import org.snowwind.model.event.EventLog;

/**
 * Stops taking callers' requests in a way that breaks none off without a word.
 *
 * <p>
 * Until the balancer can know of the stop all requests are taken, and every answer closes
 * its connection. From then on idle connections are closed and only what surely ends in
 * time is taken. Whatever is open ends by the schedule's one end.
 */
final class GracefulStop {

	/** How often open requests are counted, in milliseconds. */
	private static final long POLL_MILLIS = 20;

	/**
	 * How long before the end requests that are still open are counted, in milliseconds.
	 * It is above what a request keeps back to be ended with a true word.
	 */
	private static final long COUNT_BEFORE_END_MILLIS = 250;

	/** How long the last answers may take to go out after the end, in milliseconds. */
	private static final long CLOSING_MILLIS = 500;

	private final String name;

	private final StopSchedule schedule;

	private final HttpServer callerServer;

	private final CallerHandler callers;

	private final DataLoop loop;

	private final MonotonicClock clock;

	/**
	 * Creates a stop that has not begun.
	 * @param name the entry's name
	 * @param schedule what is taken in until when
	 * @param callerServer where callers' requests come in
	 * @param callers takes the requests
	 * @param loop the thread that owns them
	 * @param clock tells the time
	 */
	GracefulStop(String name, StopSchedule schedule, HttpServer callerServer, CallerHandler callers, DataLoop loop,
			MonotonicClock clock) {
		this.name = name;
		this.schedule = schedule;
		this.callerServer = callerServer;
		this.callers = callers;
		this.loop = loop;
		this.clock = clock;
	}

	/**
	 * Carries the stop out, and returns when no request is open or its end has passed.
	 */
	void run() {
		this.loop.run(() -> this.callers.stop(this.schedule));
		waitUntil(() -> this.schedule.knownToSenders(nowMillis()), leftMillis());
		this.callerServer.stopListening();
		this.callerServer.closeIdleConnections();
		waitUntil(this::idle, leftMillis() - COUNT_BEFORE_END_MILLIS);
		logCutOff();
		waitUntil(this::idle, leftMillis() + CLOSING_MILLIS);
		this.callerServer.closeIdleConnections();
		waitUntil(() -> this.callerServer.connections() == 0, CLOSING_MILLIS);
	}

	private long nowMillis() {
		return this.clock.nowMillis();
	}

	private long leftMillis() {
		return this.schedule.remainingMillis(nowMillis());
	}

	// A loop that does not answer may still have some open.
	private boolean idle() {
		return this.loop.ask(this.callers::closeIfIdle, 1) == 0;
	}

	private void logCutOff() {
		int left = this.loop.ask(this.callers::open, 1);
		if (left > 0) {
			EventLog.log(Event.DRAIN_BOUND_PASSED, "entry", this.name, "cutOff", left, "leftMillis", leftMillis());
		}
	}

	private static void waitUntil(BooleanSupplier condition, long mostMillis) {
		long pauses = Math.max(0, mostMillis) / POLL_MILLIS + 1;
		while (pauses > 0 && !condition.getAsBoolean()) {
			Pause.millis(POLL_MILLIS);
			pauses--;
		}
	}

}
