package org.snowwind.gateway.table;

import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

/**
 * Everything that an operator has configured, as of one version. Immutable.
 */
public final class RouteTable {

	private static final Comparator<Route> LONGEST_FIRST = Comparator
		.comparingInt((Route route) -> -route.pathPrefix().length());

	private static final RequestLimits NO_LIMITS = new RequestLimits(1 << 20, 15_000);

	/** What is in force before the first version is known: nothing. */
	public static final RouteTable NONE = new RouteTable(0, List.of(), Map.of(), Map.of(), NO_LIMITS, new byte[0]);

	private final long version;

	private final Map<String, List<Route>> routesByHost;

	private final Map<String, ServiceEntry> services;

	private final Map<String, KeyHolder> keys;

	private final RequestLimits limits;

	private final byte[] document;

	/**
	 * Creates a table.
	 * @param version the operator's version
	 * @param routes all routes
	 * @param services the services by name
	 * @param keys who holds each key; empty if requests need none
	 * @param limits what callers may send
	 * @param document the table as it stands in the platform, to be relayed to peers
	 */
	public RouteTable(long version, List<Route> routes, Map<String, ServiceEntry> services, Map<String, KeyHolder> keys,
			RequestLimits limits, byte[] document) {
		this.version = version;
		this.routesByHost = routes.stream()
			.sorted(LONGEST_FIRST)
			.collect(Collectors.groupingBy(Route::host, Collectors.toUnmodifiableList()));
		this.services = Map.copyOf(services);
		this.keys = Map.copyOf(keys);
		this.limits = limits;
		this.document = document.clone();
	}

	/**
	 * Returns the version.
	 * @return the operator's version, 0 before the first one
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Finds the route of a request: of its host's routes the one with the longest prefix.
	 * @param host the host as the caller sent it
	 * @param path the path without its query
	 * @return the route, empty if none fits
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
	 * Tells whether requests need a key.
	 * @return true if organisations are configured
	 */
	public boolean keysNeeded() {
		return !this.keys.isEmpty();
	}

	/**
	 * Finds who holds a key.
	 * @param key the key
	 * @return the organisation, empty if nobody holds it
	 */
	public Optional<KeyHolder> holderOf(String key) {
		return Optional.ofNullable(this.keys.get(key));
	}

	/**
	 * Finds a service.
	 * @param name its name
	 * @return the service, empty if there is none
	 */
	public Optional<ServiceEntry> service(String name) {
		return Optional.ofNullable(this.services.get(name));
	}

	/**
	 * Draws the service of one request.
	 * @param route the request's route
	 * @param random the source of chance
	 * @return the service; one that is not configured has no engine
	 */
	public ServiceEntry target(Route route, RandomGenerator random) {
		String name = route.drawService(random);
		return service(name).orElseGet(() -> new ServiceEntry(name, null));
	}

	/**
	 * Returns all services.
	 * @return the services by name
	 */
	public Map<String, ServiceEntry> services() {
		return this.services;
	}

	/**
	 * Returns what callers may send.
	 * @return the limits
	 */
	public RequestLimits limits() {
		return this.limits;
	}

	/**
	 * Returns the table as it stands in the platform.
	 * @return a copy of the text
	 */
	public byte[] document() {
		return this.document.clone();
	}

	/**
	 * Counts the routes.
	 * @return how many there are
	 */
	public int routes() {
		return this.routesByHost.values().stream().mapToInt(List::size).sum();
	}

}
