package org.snowwind.gateway.stop;

import org.snowwind.decide.stop.StopSchedule;
import org.snowwind.http.server.HttpServer;
import org.snowwind.model.MonotonicClock;
import org.snowwind.model.duty.Pause;
import org.snowwind.model.event.Event;
import org.snowwind.model.event.EventLog;

/**
 * Stops in a way that cuts none off: goes on serving until the balancer has noticed,
 * closes connections between requests, and waits for open requests and their answers.
 * What is taken in meanwhile is decided by {@link StopSchedule}.
 */
public final class GracefulStop {

	/** How often open requests are counted, in milliseconds. */
	private static final long POLL_MILLIS = 20;

	/**
	 * The balancer notices within two questions, a second apart, that we stop; what it
	 * sends later than 3 s after the signal must be answered in full. A tenth of a second
	 * is for the way here. In milliseconds.
	 */
	private static final long LEAVE_ROTATION_MILLIS = 2900;

	/** What is kept of the grace for closing down, in milliseconds. */
	private static final long CLOSING_MILLIS = 700;

	/**
	 * How long silent connections stay open after they were asked to close, in
	 * milliseconds, so that a request on its way is answered. It is part of
	 * {@link #CLOSING_MILLIS}.
	 */
	private static final long SILENT_CONNECTIONS_MILLIS = 300;

	/**
	 * A request that takes all of its time must be answered this much before the end, in
	 * milliseconds, so that its answer is written on a busy machine too.
	 */
	private static final long ANSWER_MARGIN_MILLIS = 100;

	/**
	 * Connections are accepted until this much before the final answers, in milliseconds,
	 * so that the requests on the last ones can be read and answered.
	 */
	private static final long LAST_CONNECTIONS_MILLIS = 500;

	private final String name;

	private final StopSchedule schedule;

	private final HttpServer callerServer;

	private final OpenRequests openRequests;

	private final MonotonicClock clock;

	/**
	 * Creates a stop that has not begun.
	 * @param name the gateway's name
	 * @param schedule its moments
	 * @param callerServer where callers' requests come in
	 * @param openRequests what it waits for
	 * @param clock tells the time
	 */
	public GracefulStop(String name, StopSchedule schedule, HttpServer callerServer, OpenRequests openRequests,
			MonotonicClock clock) {
		this.name = name;
		this.schedule = schedule;
		this.callerServer = callerServer;
		this.openRequests = openRequests;
		this.clock = clock;
	}

	/**
	 * Plans a stop.
	 * @param nowMillis when the gateway was told to stop
	 * @param graceMillis the time that it was given, in milliseconds
	 * @return its moments
	 */
	public static StopSchedule plan(long nowMillis, long graceMillis) {
		return StopSchedule.of(nowMillis, LEAVE_ROTATION_MILLIS, graceMillis - CLOSING_MILLIS, ANSWER_MARGIN_MILLIS);
	}

	/**
	 * Carries the stop out, and returns when it is done or the grace has passed.
	 */
	public void run() {
		waitUntil(this.schedule.knownToSendersMillis());
		closeIdleConnections();
		// Callers may still be sent here if too few others are in rotation. They fare
		// better with an answer than with a connection that fails.
		waitUntilIdle(this.schedule.finalAnswersMillis() - LAST_CONNECTIONS_MILLIS);
		this.callerServer.stopListening();
		closeIdleConnections();
		long silentUntilMillis = this.clock.nowMillis() + SILENT_CONNECTIONS_MILLIS;
		// Requests on the connections that are open now are still read and answered.
		waitUntilIdle(this.schedule.finalAnswersMillis());
		endWhatIsOpen();
		waitUntilClosed(Math.max(this.schedule.endMillis(), silentUntilMillis));
		EventLog.log(Event.GATEWAY_STOPPED, "gateway", this.name, "tookMillis",
				this.schedule.elapsedMillis(this.clock.nowMillis()));
		this.callerServer.close();
	}

	private void closeIdleConnections() {
		EventLog.log(Event.CONNECTIONS_CLOSING, "gateway", this.name, "connections", this.callerServer.connections(),
				"openRequests", this.openRequests.count(), "afterMillis",
				this.schedule.elapsedMillis(this.clock.nowMillis()));
		this.callerServer.closeIdleConnections();
	}

	private void endWhatIsOpen() {
		int left = this.openRequests.count();
		if (left > 0) {
			this.openRequests.endAll();
			EventLog.log(Event.DRAIN_BOUND_PASSED, "gateway", this.name, "cutOff", left);
		}
	}

	private void waitUntil(long untilMillis) {
		while (this.clock.nowMillis() < untilMillis) {
			Pause.millis(POLL_MILLIS);
		}
	}

	private void waitUntilIdle(long untilMillis) {
		while (!this.openRequests.closeIfNone() && this.clock.nowMillis() < untilMillis) {
			Pause.millis(POLL_MILLIS);
		}
	}

	// A slow caller may still read an answer that has ended for us.
	private void waitUntilClosed(long untilMillis) {
		while (this.callerServer.connections() > 0 && this.clock.nowMillis() < untilMillis) {
			Pause.millis(POLL_MILLIS);
		}
	}

}
