package org.snowwind.gateway.backend;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.snowwind.decide.limit.ArrivalRate;
import org.snowwind.decide.limit.LimitReport;
import org.snowwind.decide.limit.RateAllocator;
import org.snowwind.decide.limit.RateDemand;
import org.snowwind.decide.limit.RateGrant;
import org.snowwind.gateway.registry.BackendIncarnation;
import org.snowwind.model.MonotonicClock;

/**
 * The limits of all servers as known to this process, its demand for their rates, and the
 * shares that it was granted. Confined to the event loop.
 */
public final class SharedLimits {

	/**
	 * The maximum number of announcements that are sent to peers at once. The limits that
	 * changed last have priority.
	 */
	private static final int MAX_ANNOUNCEMENTS = 64;

	private static final double MILLIS_PER_SECOND = 1000;

	private final Supplier<Stream<Backend>> backends;

	private final Function<String, Optional<Backend>> lookup;

	private final MonotonicClock clock;

	private final Map<String, ArrivalRate> arrivals = new HashMap<>();

	private final Map<String, Integer> waiting = new HashMap<>();

	/**
	 * Creates the state without any limit.
	 * @param backends lists all servers
	 * @param find finds a server by its id
	 * @param clock the clock
	 */
	SharedLimits(Supplier<Stream<Backend>> backends, Function<String, Optional<Backend>> find, MonotonicClock clock) {
		this.backends = backends;
		this.lookup = find;
		this.clock = clock;
	}

	/**
	 * Records the arrival of a request of a caller.
	 * @param service the service's name
	 */
	public void onRequestArrival(String service) {
		this.arrivals.computeIfAbsent(service, (name) -> new ArrivalRate()).recordRequest(this.clock.nowMillis());
	}

	/**
	 * Records requests that start or stop waiting for a server.
	 * @param service the service's name
	 * @param change the change of the number of waiting requests, negative for fewer
	 */
	public void changeWaiting(String service, int change) {
		this.waiting.merge(service, change, Integer::sum);
	}

	/**
	 * Returns the number of requests that wait for a server.
	 * @param service the service's name
	 * @return the number of waiting requests
	 */
	int waiting(String service) {
		return this.waiting.getOrDefault(service, 0);
	}

	/**
	 * Returns the expected queueing delay of a further request if all servers of its
	 * service have a limit.
	 * @param service the service's name
	 * @param queuedAhead the number of waiting requests that are sent before it
	 * @return the delay, in milliseconds; 0 if no request waits or if a server that
	 * accepts requests now has no limit, {@link Long#MAX_VALUE} if requests wait and none
	 * is expected to be sent
	 */
	long queueMillis(String service, int queuedAhead) {
		if (queuedAhead == 0) {
			return 0;
		}
		long nowMillis = this.clock.nowMillis();
		double perSecond = this.backends.get()
			.filter((backend) -> backend.takesNewWork() && backend.entry().service().equals(service)
					&& backend.notices().backoff().admits(nowMillis))
			.mapToDouble((backend) -> backend.limit().expectedPerSecond(nowMillis))
			.sum();
		if (Double.isInfinite(perSecond)) {
			return 0;
		}
		return (perSecond > 0) ? Math.round(MILLIS_PER_SECOND * (queuedAhead + 1) / perSecond) : Long.MAX_VALUE;
	}

	/**
	 * Returns a snapshot of the current state for other threads.
	 * @return the active limits, the announcements for peers, and the demand
	 */
	public Snapshot snapshot() {
		List<Backend> known = this.backends.get().filter((backend) -> backend.limit().known().isKnown()).toList();
		if (known.isEmpty()) {
			return Snapshot.NONE;
		}
		List<Backend> limited = known.stream().filter((backend) -> backend.limit().known().isActive()).toList();
		Map<String, Double> active = limited.stream()
			.collect(Collectors.toUnmodifiableMap(Backend::id, (backend) -> backend.limit().known().perSecond()));
		return new Snapshot(active, announcements(known), wishes(limited));
	}

	private static List<LimitAnnouncement> announcements(List<Backend> known) {
		Comparator<Backend> byChange = Comparator.comparingLong((backend) -> backend.limit().known().changedMillis());
		return known.stream()
			.sorted(byChange.reversed())
			.limit(MAX_ANNOUNCEMENTS)
			.map((backend) -> new LimitAnnouncement(backend.entry().incarnation(), backend.limit().known().report()))
			.toList();
	}

	/**
	 * Records announcements of servers that a peer has received.
	 * @param announcements the announcements, with times by the local clock
	 */
	public void onPeerAnnouncements(List<LimitAnnouncement> announcements) {
		long nowMillis = this.clock.nowMillis();
		announcements.forEach((announcement) -> limitOf(announcement.run())
			.ifPresent((limit) -> limit.onPeerAnnouncement(announcement.limit(), nowMillis)));
	}

	private Optional<BackendLimit> limitOf(BackendIncarnation run) {
		return this.lookup.apply(run.id())
			.filter((backend) -> backend.entry().incarnation().mayEqual(run))
			.map(Backend::limit);
	}

	// Divides the demand for a service among its limited servers in proportion to their
	// usable rates.
	private List<Wish> wishes(List<Backend> limited) {
		long nowMillis = this.clock.nowMillis();
		Map<String, Double> rates = limited.stream()
			.filter((backend) -> !backend.isEvacuated())
			.collect(Collectors.groupingBy((backend) -> backend.entry().service(),
					Collectors.summingDouble(SharedLimits::usableRate)));
		return limited.stream().filter(Backend::takesNewWork).map((backend) -> {
			String service = backend.entry().service();
			double wanted = arrivalRate(service, nowMillis) * usableRate(backend) / rates.get(service);
			return new Wish(backend.entry().incarnation(), new RateDemand(backend.limit().known().perSecond(), wanted,
					backend.limit().grantedPerSecond(nowMillis), waiting(service)));
		}).toList();
	}

	private double arrivalRate(String service, long nowMillis) {
		ArrivalRate rate = this.arrivals.get(service);
		return (rate != null) ? rate.perSecond(nowMillis) : 0;
	}

	private static double usableRate(Backend backend) {
		return RateAllocator.usableRate(backend.limit().known().perSecond());
	}

	/**
	 * Applies granted shares of rates.
	 * @param grants the shares
	 * @param askedMillis when they were requested, in milliseconds
	 */
	public void applyGrants(List<Grant> grants, long askedMillis) {
		long nowMillis = this.clock.nowMillis();
		grants.forEach((grant) -> limitOf(grant.run())
			.ifPresent((limit) -> limit.applyGrant(grant.grant(), askedMillis, nowMillis)));
	}

	/**
	 * The state at one point in time.
	 *
	 * @param activeLimits the active limits, in requests per second by the server's id
	 * @param announcements the announcements that are sent to peers
	 * @param wishes the demand of this process for the rate of each limited server
	 */
	public record Snapshot(Map<String, Double> activeLimits, List<LimitAnnouncement> announcements, List<Wish> wishes) {

		/** The state without any limit. */
		public static final Snapshot NONE = new Snapshot(Map.of(), List.of(), List.of());

		/**
		 * Returns the sum of the shares that this process holds.
		 * @return requests per second
		 */
		public double grantedPerSecond() {
			return this.wishes.stream().mapToDouble((wish) -> wish.wish().heldPerSecond()).sum();
		}

	}

	/**
	 * The latest known announcement of a server's limit.
	 *
	 * @param run the incarnation of the server
	 * @param limit the announced limit
	 */
	public record LimitAnnouncement(BackendIncarnation run, LimitReport limit) {

	}

	/**
	 * The demand of a process for a share of a server's rate.
	 *
	 * @param run the incarnation of the server
	 * @param wish the demand
	 */
	public record Wish(BackendIncarnation run, RateDemand wish) {

	}

	/**
	 * A granted share of a server's rate.
	 *
	 * @param run the incarnation of the server
	 * @param grant the share
	 */
	public record Grant(BackendIncarnation run, RateGrant grant) {

	}

}
