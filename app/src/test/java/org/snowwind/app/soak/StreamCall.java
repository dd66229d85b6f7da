package org.snowwind.app.soak;

/**
 * One request of a {@link StreamCaller} and what came of it.
 *
 * @param id its id
 * @param stream whether a stream was requested
 * @param secondTry whether its caller has left another answer to the same request before
 * @param gateway the index of the gateway that it was sent to
 * @param sentNanos when it was sent
 * @param lastEventNanos when the last event arrived; when it was sent, if none arrived
 * @param endedNanos when its answer ended or broke
 * @param status the status of the answer, 0 if none came
 * @param events the number of events that arrived
 * @param pauseNanos the longest time without an event, from the sending on, in
 * nanoseconds
 * @param ending how it ended
 */
record StreamCall(String id, boolean stream, boolean secondTry, int gateway, long sentNanos, long lastEventNanos,
		long endedNanos, int status, int events, long pauseNanos, Ending ending) {

	private static final int OK = 200;

	boolean isComplete() {
		return this.status == OK && this.ending == Ending.WHOLE;
	}

	String describe() {
		return "%s at gateway %d: status %d, %s after %d events, %d ms after it was sent".formatted(this.id,
				this.gateway, this.status, this.ending, this.events, (this.endedNanos - this.sentNanos) / 1_000_000);
	}

	/** How an answer ended. */
	enum Ending {

		/** All of it arrived. */
		WHOLE,

		/** The connection ended within it. */
		CUT,

		/** It ended as a whole answer, but with other content. */
		WRONG,

		/** The caller closed the connection after a long pause. */
		LEFT

	}

}
