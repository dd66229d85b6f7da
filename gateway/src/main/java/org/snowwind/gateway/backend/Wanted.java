package org.snowwind.gateway.backend;

import java.util.Set;

import org.snowwind.gateway.table.EngineProfile;

/**
 * What kind of server a request needs.
 *
 * @param service the service's name
 * @param tried ids of servers that are not wanted
 * @param mayWait how many requests may wait at a server beyond those that run
 * @param engine how fast the engines of the service are; {@code null} for a plain service
 * @param pauseTargetMillis the longest pause between events that is on time, in
 * milliseconds
 * @param returned whether the caller was turned away before; it goes before others
 */
public record Wanted(String service, Set<String> tried, int mayWait, EngineProfile engine, long pauseTargetMillis,
		boolean returned) {

	/**
	 * The part of a group's limit that a request may fill whose caller was turned away
	 * before: better one pass a little longer than a caller turned away twice.
	 */
	private static final double RETURNED_SHARE = 1.05;

	/** The part that any other request may fill. */
	private static final double FRESH_SHARE = 0.95;

	/**
	 * Returns how many requests a group may have for this one to be added.
	 * @param limit at which all its streams are on time
	 * @return a number of requests
	 */
	double limit(int limit) {
		return (this.returned ? RETURNED_SHARE : FRESH_SHARE) * limit;
	}

	/**
	 * Returns the same need, whichever servers were tried.
	 * @return a new need
	 */
	public Wanted anyServer() {
		return new Wanted(this.service, Set.of(), this.mayWait, this.engine, this.pauseTargetMillis, this.returned);
	}

}
