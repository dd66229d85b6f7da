package org.snowwind.gateway.table;

/**
 * Whether the requests of a route may run more than once.
 */
public enum RepeatPolicy {

	/** A request may run any number of times. */
	IDEMPOTENT,

	/** A request may run at most once. */
	AT_MOST_ONCE,

	/** A request is answered by a stream of numbered events. */
	STREAM

}
