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
 * @param standing whom it goes before
 */
public record Wanted(String service, Set<String> tried, int mayWait, EngineProfile engine, long pauseTargetMillis,
		Standing standing) {

	/**
	 * Returns how many requests a group may have for this one to be added.
	 * @param limit at which all its streams are on time
	 * @return a number of requests
	 */
	double limit(int limit) {
		return this.standing.share() * limit;
	}

	/**
	 * Returns the same need, whichever servers were tried.
	 * @return a new need
	 */
	public Wanted anyServer() {
		return new Wanted(this.service, Set.of(), this.mayWait, this.engine, this.pauseTargetMillis, this.standing);
	}

}
