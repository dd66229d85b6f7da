package org.snowwind.gateway.table;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * The priorities of requests under one configuration. Immutable.
 *
 * <p>
 * Handles load of unequal urgency on the same servers. The priority of an organisation
 * overrides that of the route. A configuration under which all requests have the same
 * priority distinguishes none, so its requests are served and sent without one.
 */
public final class RequestPriorities {

	/** Stands for no priority. */
	public static final int NONE = -1;

	/**
	 * Stands for a configured value that is no priority. It is treated as {@link #NONE},
	 * so that one bad value does not keep a new configuration from being applied.
	 */
	public static final int INVALID = -2;

	/** The least urgent priority; larger values are treated as this one. */
	public static final int LOWEST = 9;

	/**
	 * The priority of requests without a configured one if others have one. Servers give
	 * the same to requests without a priority.
	 */
	public static final int DEFAULT = 5;

	private final boolean distinct;

	private final List<String> outOfRange;

	private RequestPriorities(boolean distinct, List<String> outOfRange) {
		this.distinct = distinct;
		this.outOfRange = outOfRange;
	}

	/**
	 * Reads the priorities of a configuration.
	 * @param routes all routes
	 * @param holders the holders of all API keys; empty if requests need none
	 * @return the priorities
	 */
	static RequestPriorities of(Collection<Route> routes, Collection<KeyHolder> holders) {
		boolean ofRoutesUsed = holders.isEmpty() || holders.stream().anyMatch((holder) -> holder.priority() < 0);
		Set<Integer> possible = Stream
			.concat(holders.stream().map(KeyHolder::priority).filter((priority) -> priority >= 0),
					routes.stream().filter((route) -> ofRoutesUsed || route.open()).map(Route::priority))
			.map((priority) -> effective(priority, NONE))
			.collect(Collectors.toSet());
		List<String> outOfRange = Stream
			.concat(routes.stream().filter((route) -> isOutOfRange(route.priority())).map(Route::name),
					holders.stream().filter((holder) -> isOutOfRange(holder.priority())).map(KeyHolder::organisation))
			.distinct()
			.sorted()
			.toList();
		return new RequestPriorities(possible.size() > 1, outOfRange);
	}

	private static boolean isOutOfRange(int configured) {
		return configured == INVALID || configured > LOWEST;
	}

	/**
	 * Returns whether requests may have different priorities.
	 * @return false if all requests have the same priority
	 */
	public boolean distinct() {
		return this.distinct;
	}

	/**
	 * Lists what has a configured priority that is negative, not a whole number or above
	 * {@link #LOWEST}.
	 * @return names of routes and organisations, in order
	 */
	public List<String> outOfRange() {
		return this.outOfRange;
	}

	/**
	 * Returns the priority of a request.
	 * @param route the route of the request
	 * @param holder the organisation that sent it; {@code null} if it is not known
	 * @return 0 to {@link #LOWEST}, 0 is the most urgent; {@link #NONE} if all requests
	 * have the same priority
	 */
	public int of(Route route, KeyHolder holder) {
		return this.distinct ? effective(route.priority(), (holder != null) ? holder.priority() : NONE) : NONE;
	}

	private static int effective(int ofRoute, int ofOrganisation) {
		int configured = (ofOrganisation >= 0) ? ofOrganisation : ofRoute;
		return (configured >= 0) ? Math.min(configured, LOWEST) : DEFAULT;
	}

}
