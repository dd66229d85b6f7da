package org.snowwind.gateway.table;

import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

/**
 * One version of the configuration that an operator has set. Immutable.
 */
public final class RouteTable {

	private static final Comparator<Route> LONGEST_PREFIX_FIRST = Comparator
		.comparingInt((Route route) -> -route.pathPrefix().length());

	private static final RequestLimits INITIAL_LIMITS = new RequestLimits(1 << 20, 15_000);

	/** The empty table that is in force until the first version is known. */
	public static final RouteTable NONE = new RouteTable(0, List.of(), Map.of(), new KeyedAccess(List.of(), List.of()),
			INITIAL_LIMITS, new byte[0]);

	private final long version;

	private final Map<String, List<Route>> routesByHost;

	private final Map<String, ServiceEntry> services;

	private final CallerAccess access;

	private final RequestPriorities priorities;

	private final RequestLimits limits;

	private final byte[] document;

	/**
	 * Creates a table.
	 * @param version the version that the operator assigned
	 * @param routes all routes
	 * @param services the services by name
	 * @param access who may send requests
	 * @param limits the limits on requests and connections of callers
	 * @param document the table as the platform stores it, to be relayed to peers
	 */
	public RouteTable(long version, List<Route> routes, Map<String, ServiceEntry> services, CallerAccess access,
			RequestLimits limits, byte[] document) {
		this.version = version;
		this.routesByHost = routes.stream()
			.sorted(LONGEST_PREFIX_FIRST)
			.collect(Collectors.groupingBy(Route::host, Collectors.toUnmodifiableList()));
		this.services = Map.copyOf(services);
		this.access = access;
		this.priorities = RequestPriorities.of(routes, access);
		this.limits = limits;
		this.document = document.clone();
	}

	/**
	 * Returns the version.
	 * @return the version that the operator assigned, 0 before the first one
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Finds the route of a request, which is the one with the longest matching prefix
	 * among the routes of its host.
	 * @param host the host as the caller sent it
	 * @param path the path without its query
	 * @return the route, empty if none matches
	 */
	public Optional<Route> route(String host, String path) {
		List<Route> routes = this.routesByHost.getOrDefault(hostName(host), List.of());
		return routes.stream().filter((route) -> path.startsWith(route.pathPrefix())).findFirst();
	}

	private static String hostName(String host) {
		if (host == null) {
			return "";
		}
		int port = host.lastIndexOf(':');
		String name = (port > host.indexOf(']')) ? host.substring(0, port) : host;
		return name.toLowerCase(Locale.ROOT);
	}

	/**
	 * Returns which organisations cannot send requests, or not with all their keys.
	 * @return at most one fault for each organisation
	 */
	public List<AccessFault> accessFaults() {
		return this.access.faults();
	}

	/**
	 * Returns whether requests need an API key, except on open routes.
	 * @return true if organisations are configured, even if none of them has a key
	 */
	public boolean requiresKeys() {
		return this.access.requiresKey();
	}

	/**
	 * Finds the holder of an API key.
	 * @param key the key as the value of a header, one character for each octet
	 * @return the organisation, empty if the key belongs to none
	 */
	public Optional<KeyHolder> holderOf(String key) {
		return this.access.holderOf(key);
	}

	/**
	 * Returns the priorities of requests.
	 * @return the priorities
	 */
	public RequestPriorities priorities() {
		return this.priorities;
	}

	/**
	 * Finds a service.
	 * @param name the name of the service
	 * @return the service, empty if there is none
	 */
	public Optional<ServiceEntry> service(String name) {
		return Optional.ofNullable(this.services.get(name));
	}

	/**
	 * Chooses the service of one request at random, in proportion to the weights.
	 * @param route the request's route
	 * @param random the source of randomness
	 * @return the service; a service that is not configured has no engine profile
	 */
	public ServiceEntry chooseService(Route route, RandomGenerator random) {
		String name = route.chooseService(random);
		return service(name).orElseGet(() -> new ServiceEntry(name, null, 0));
	}

	/**
	 * Returns all services.
	 * @return the services by name
	 */
	public Map<String, ServiceEntry> services() {
		return this.services;
	}

	/**
	 * Returns the limits on requests and connections of callers.
	 * @return the limits
	 */
	public RequestLimits limits() {
		return this.limits;
	}

	/**
	 * Returns the table as the platform stores it.
	 * @return a copy of the encoded table
	 */
	public byte[] document() {
		return this.document.clone();
	}

	/**
	 * Returns the number of routes.
	 * @return the number of routes of all hosts
	 */
	public int routes() {
		return this.routesByHost.values().stream().mapToInt(List::size).sum();
	}

}
