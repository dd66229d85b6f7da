package org.snowwind.gateway.backend;

import java.util.Set;

import org.snowwind.decide.choice.MemoryNeed;
import org.snowwind.gateway.table.EngineProfile;

/**
 * The requirements of a request for a server.
 *
 * @param service the service's name
 * @param tried ids of servers that are excluded, since they were tried
 * @param maxQueuedAtServer how many requests may queue at a server beyond those that run
 * @param engine the performance of the service's engines; {@code null} for a plain
 * service
 * @param pauseTargetMillis the maximum pause between events that is on time, in
 * milliseconds; 0 if there is no target
 * @param memory the memory that the request needs at a server
 */
public record ServerRequirements(String service, Set<String> tried, int maxQueuedAtServer, EngineProfile engine,
		long pauseTargetMillis, MemoryNeed memory) {

	/**
	 * Creates requirements of a request whose memory is not checked.
	 * @param service the service's name
	 * @param tried ids of servers that are excluded, since they were tried
	 * @param maxQueuedAtServer how many requests may queue at a server beyond those that
	 * run
	 * @param engine the performance of the service's engines; {@code null} for a plain
	 * service
	 * @param pauseTargetMillis the maximum pause between events that is on time, in
	 * milliseconds; 0 if there is no target
	 */
	public ServerRequirements(String service, Set<String> tried, int maxQueuedAtServer, EngineProfile engine,
			long pauseTargetMillis) {
		this(service, tried, maxQueuedAtServer, engine, pauseTargetMillis, MemoryNeed.UNCHECKED);
	}

	/**
	 * Returns the same requirements without excluded servers.
	 * @return new requirements
	 */
	public ServerRequirements withoutExclusions() {
		return new ServerRequirements(this.service, Set.of(), this.maxQueuedAtServer, this.engine,
				this.pauseTargetMillis, this.memory);
	}

}
