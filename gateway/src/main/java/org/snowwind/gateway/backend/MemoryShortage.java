package org.snowwind.gateway.backend;

import java.util.concurrent.atomic.AtomicLong;

import org.snowwind.decide.choice.MemoryNeed;
import org.snowwind.model.event.Event;
import org.snowwind.model.event.EventLog;

/**
 * Counts how often a server was left out of a choice since the request does not fit into
 * its memory. Counted on the event loop and read by any thread.
 */
public final class MemoryShortage {

	/** A line at most in this time, in milliseconds: requests that wait ask often. */
	private static final long LINE_MILLIS = 1000;

	private final AtomicLong count = new AtomicLong();

	private long loggedCount;

	private long lineMillis = Long.MIN_VALUE / 2;

	/**
	 * Returns how often a server was left out.
	 * @return the number of servers left out, summed over all choices
	 */
	public long count() {
		return this.count.get();
	}

	void record(Backend backend, MemoryNeed need, long nowMillis) {
		long current = this.count.incrementAndGet();
		if (nowMillis - this.lineMillis >= LINE_MILLIS) {
			EventLog.log(Event.SERVER_MEMORY_SHORT, "server", backend.id(), "tokens", need.tokens(), "ownTokens",
					backend.heldTokens(), "peerRequests", backend.peersInFlight(), "usualTokens",
					Math.round(need.usualTokens()), "memoryTokens", need.memoryTokens(), "times",
					current - this.loggedCount);
			this.loggedCount = current;
			this.lineMillis = nowMillis;
		}
	}

}
