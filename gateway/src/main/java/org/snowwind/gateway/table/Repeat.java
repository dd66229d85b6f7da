package org.snowwind.gateway.table;

/**
 * How often the requests of a route may run.
 */
public enum Repeat {

	/** A request may run any number of times. */
	IDEMPOTENT,

	/** A request may run once at most. */
	AT_MOST_ONCE,

	/** A request is answered by a stream of numbered events. */
	STREAM

}
