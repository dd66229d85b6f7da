package org.snowwind.gateway.limit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

import org.snowwind.decide.limit.RateAllocator;
import org.snowwind.gateway.backend.SharedLimits.Grant;
import org.snowwind.gateway.backend.SharedLimits.Wish;
import org.snowwind.gateway.registry.BackendIncarnation;

/**
 * The granted shares of the rates of all servers that this process coordinates.
 * Thread-safe.
 */
final class RateAllocators {

	private final Map<BackendIncarnation, RateAllocator> byRun = new HashMap<>();

	/**
	 * Grants shares to a process.
	 * @param process the name of the process
	 * @param wishes the demand of the process for each server's rate
	 * @param isCoordinator tests whether this process considers itself the coordinator of
	 * the server with a given id
	 * @param leaseMillis how long the shares are valid, in milliseconds
	 * @param nowMillis the time, in milliseconds
	 * @return the shares, in the order of the wishes
	 */
	synchronized List<Grant> grant(String process, List<Wish> wishes, Predicate<String> isCoordinator, long leaseMillis,
			long nowMillis) {
		List<Grant> grants = new ArrayList<>();
		for (Wish wish : wishes) {
			RateAllocator ledger = this.byRun.computeIfAbsent(wish.run(), (run) -> new RateAllocator());
			grants.add(new Grant(wish.run(),
					ledger.grant(process, wish.wish(), isCoordinator.test(wish.run().id()), leaseMillis, nowMillis)));
		}
		return grants;
	}

	/**
	 * Removes the ledgers of servers for which no process holds a share.
	 * @param nowMillis the time, in milliseconds
	 */
	synchronized void removeUnused(long nowMillis) {
		this.byRun.values().removeIf((ledger) -> ledger.removeExpired(nowMillis));
	}

}
