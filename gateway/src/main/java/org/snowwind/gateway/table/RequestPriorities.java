package org.snowwind.gateway.table;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * The priorities of requests under one configuration. Immutable.
 *
 * <p>
 * Handles load of unequal urgency on the same servers. The priority of an organisation
 * overrides that of the route. Requests to a service all of whose requests have the same
 * priority compete with no others, so they are served and sent without one.
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

	/** The services whose requests may have different priorities. */
	private final Set<String> services;

	private final List<String> outOfRange;

	private RequestPriorities(Set<String> services, List<String> outOfRange) {
		this.services = services;
		this.outOfRange = outOfRange;
	}

	/**
	 * Reads the priorities of a configuration.
	 * @param routes all routes
	 * @param access who may send requests
	 * @return the priorities
	 */
	static RequestPriorities of(Collection<Route> routes, CallerAccess access) {
		Map<String, Set<Integer>> possible = new HashMap<>();
		for (Route route : routes) {
			Set<Integer> ofRoute = possible(route, access);
			route.shares()
				.forEach((share) -> possible.computeIfAbsent(share.service(), (name) -> new HashSet<>())
					.addAll(ofRoute));
		}
		Set<String> services = possible.entrySet()
			.stream()
			.filter((service) -> service.getValue().size() > 1)
			.map(Map.Entry::getKey)
			.collect(Collectors.toUnmodifiableSet());
		List<String> outOfRange = Stream
			.concat(routes.stream().filter((route) -> isOutOfRange(route.priority())).map(Route::name),
					access.organisations()
						.stream()
						.filter((holder) -> isOutOfRange(holder.priority()))
						.map(KeyHolder::organisation))
			.distinct()
			.sorted()
			.toList();
		return new RequestPriorities(services, outOfRange);
	}

	// Organisations without keys count too, so that the removal of a key does not change
	// the priorities of the others' requests.
	private static Set<Integer> possible(Route route, CallerAccess access) {
		Set<Integer> priorities = new HashSet<>();
		if (!access.requiresKey() || route.open()) {
			priorities.add(effective(route.priority(), NONE));
		}
		access.organisations().forEach((holder) -> priorities.add(effective(route.priority(), holder.priority())));
		return priorities;
	}

	private static boolean isOutOfRange(int configured) {
		return configured == INVALID || configured > LOWEST;
	}

	/**
	 * Returns whether requests to a service may have different priorities.
	 * @param service the service's name
	 * @return false if all requests to it have the same priority
	 */
	public boolean areDistinct(String service) {
		return this.services.contains(service);
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
	 * @param service the name of the service that it is sent to
	 * @param holder the organisation that sent it; {@code null} if it is not known
	 * @return 0 to {@link #LOWEST}, 0 is the most urgent; {@link #NONE} if all requests
	 * to the service have the same priority
	 */
	public int of(Route route, String service, KeyHolder holder) {
		return areDistinct(service) ? effective(route.priority(), (holder != null) ? holder.priority() : NONE) : NONE;
	}

	private static int effective(int ofRoute, int ofOrganisation) {
		int configured = (ofOrganisation >= 0) ? ofOrganisation : ofRoute;
		return (configured >= 0) ? Math.min(configured, LOWEST) : DEFAULT;
	}

}
