package org.snowwind.app.soak;

/**
 * A span of time in which something was wrong.
 *
 * @param what the fault
 * @param where the gateway that it touched, {@link #SERVERS} or {@link #STORE}
 * @param fromNanos when it began
 * @param untilNanos when it ended
 */
record Disturbance(String what, String where, long fromNanos, long untilNanos) {

	static final String SERVERS = "servers";

	static final String STORE = "store";

	boolean touches(String place, long from, long until) {
		return this.where.equals(place) && this.fromNanos <= until && this.untilNanos >= from;
	}

}
