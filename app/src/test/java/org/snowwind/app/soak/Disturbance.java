package org.snowwind.app.soak;

/**
 * A span of time in which something was wrong.
 *
 * @param what the fault
 * @param where the gateway that it touched, {@link #SERVERS}, {@link #STORE} or
 * {@link #SILENT_SERVERS}
 * @param fromNanos when it began
 * @param untilNanos when it ended
 */
record Disturbance(String what, String where, long fromNanos, long untilNanos) {

	static final String SERVERS = "servers";

	static final String STORE = "store";

	/** Servers that send nothing for a while and go on; no fault of theirs otherwise. */
	static final String SILENT_SERVERS = "silent servers";

	boolean touches(String place, long from, long until) {
		return this.where.equals(place) && this.fromNanos <= until && this.untilNanos >= from;
	}

}
