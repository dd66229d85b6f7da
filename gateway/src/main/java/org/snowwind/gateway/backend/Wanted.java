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
 */
public record Wanted(String service, Set<String> tried, int mayWait, EngineProfile engine, long pauseTargetMillis) {

	/**
	 * Returns the same need, whichever servers were tried.
	 * @return a new need
	 */
	public Wanted anyServer() {
		return new Wanted(this.service, Set.of(), this.mayWait, this.engine, this.pauseTargetMillis);
	}

}
