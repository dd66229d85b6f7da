package org.snowwind.gateway.backend;

import java.util.Set;

import org.snowwind.decide.choice.MemoryNeed;
import org.snowwind.gateway.table.EngineProfile;

/**
 * A request that needs a server.
 *
 * @param service the service's name
 * @param tried ids of servers that have rejected or lost the request
 * @param maxQueuedAtServer how many requests may queue at a server beyond those that run
 * @param engine the performance of the service's engines; {@code null} for a plain
 * service
 * @param targetMillis the target time until the answer begins, in milliseconds
 * @param pauseTargetMillis the maximum pause between events that is on time, in
 * milliseconds; 0 if there is no target
 * @param arrivedMillis when the request arrived or, for a stream that is resumed on
 * another server, when the stream broke, in milliseconds
 * @param alreadyWaiting whether the request is already waiting
 * @param memory the memory that the request needs at a server
 */
public record Arrival(String service, Set<String> tried, int maxQueuedAtServer, EngineProfile engine, long targetMillis,
		long pauseTargetMillis, long arrivedMillis, boolean alreadyWaiting, MemoryNeed memory) {

	/**
	 * Creates an arrival with a copy of the ids.
	 */
	public Arrival {
		tried = Set.copyOf(tried);
	}

	/**
	 * Creates an arrival of a request whose memory is not checked.
	 * @param service the service's name
	 * @param tried ids of servers that have rejected or lost the request
	 * @param maxQueuedAtServer how many requests may queue at a server beyond those that
	 * run
	 * @param engine the performance of the service's engines; {@code null} for a plain
	 * service
	 * @param targetMillis the target time until the answer begins, in milliseconds
	 * @param pauseTargetMillis the maximum pause between events that is on time, in
	 * milliseconds; 0 if there is no target
	 * @param arrivedMillis when the request arrived or, for a stream that is resumed on
	 * another server, when the stream broke, in milliseconds
	 * @param alreadyWaiting whether the request is already waiting
	 */
	public Arrival(String service, Set<String> tried, int maxQueuedAtServer, EngineProfile engine, long targetMillis,
			long pauseTargetMillis, long arrivedMillis, boolean alreadyWaiting) {
		this(service, tried, maxQueuedAtServer, engine, targetMillis, pauseTargetMillis, arrivedMillis, alreadyWaiting,
				MemoryNeed.UNCHECKED);
	}

	ServerRequirements requirements() {
		return new ServerRequirements(this.service, this.tried, this.maxQueuedAtServer, this.engine,
				this.pauseTargetMillis, this.memory);
	}

}
