package org.snowwind.gateway;

import java.util.function.IntSupplier;

import org.snowwind.http.server.HttpServer;
import org.snowwind.model.MonotonicClock;
import org.snowwind.model.duty.Pause;
import org.snowwind.model.event.Event;
import org.snowwind.model.event.EventLog;

/**
 * Stops taking requests in a way that cuts none off: goes on serving until the balancer
 * has noticed, closes connections between requests, and waits for open requests.
 */
final class GracefulStop {

	/**
	 * The balancer notices within two questions, a second apart, that we stop, in
	 * milliseconds.
	 */
	private static final long LEAVE_ROTATION_MILLIS = 2600;

	/** What is kept of the grace for closing down, in milliseconds. */
	private static final long CLOSING_MILLIS = 700;

	/** How often open requests are counted, in milliseconds. */
	private static final long POLL_MILLIS = 20;

	private final String name;

	private final long graceMillis;

	private final HttpServer callerServer;

	private final IntSupplier openRequests;

	private final MonotonicClock clock;

	/**
	 * Creates a stop that has not begun.
	 * @param name the gateway's name
	 * @param graceMillis the time to stop, in milliseconds
	 * @param callerServer where callers' requests come in
	 * @param openRequests counts the open requests
	 * @param clock tells the time
	 */
	GracefulStop(String name, long graceMillis, HttpServer callerServer, IntSupplier openRequests,
			MonotonicClock clock) {
		this.name = name;
		this.graceMillis = graceMillis;
		this.callerServer = callerServer;
		this.openRequests = openRequests;
		this.clock = clock;
	}

	/**
	 * Carries the stop out, and returns when it is done or the grace has passed.
	 */
	void run() {
		long beganMillis = this.clock.nowMillis();
		EventLog.log(Event.GATEWAY_DRAINING, "gateway", this.name, "graceMillis", this.graceMillis);
		long mostMillis = beganMillis + this.graceMillis - CLOSING_MILLIS;
		waitUntil(Math.min(mostMillis, beganMillis + LEAVE_ROTATION_MILLIS));
		this.callerServer.closeIdleConnections();
		// Callers may still be sent here if too few others are in rotation.
		waitUntilIdle(Math.min(mostMillis, beganMillis + this.graceMillis / 2));
		this.callerServer.stopListening();
		this.callerServer.closeIdleConnections();
		waitUntilIdle(mostMillis);
		logEnd(beganMillis);
		this.callerServer.close();
	}

	private void logEnd(long beganMillis) {
		int left = this.openRequests.getAsInt();
		if (left > 0) {
			EventLog.log(Event.DRAIN_BOUND_PASSED, "gateway", this.name, "cutOff", left);
		}
		EventLog.log(Event.GATEWAY_STOPPED, "gateway", this.name, "tookMillis", this.clock.nowMillis() - beganMillis);
	}

	private void waitUntil(long untilMillis) {
		while (this.clock.nowMillis() < untilMillis) {
			Pause.millis(POLL_MILLIS);
		}
	}

	private void waitUntilIdle(long untilMillis) {
		while (this.openRequests.getAsInt() > 0 && this.clock.nowMillis() < untilMillis) {
			Pause.millis(POLL_MILLIS);
		}
	}

}
