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
import org.snowwind.decide.limit.LimitLedger;
import org.snowwind.decide.limit.LimitWord;
import org.snowwind.decide.limit.RateGrant;
import org.snowwind.decide.limit.RateWish;
import org.snowwind.gateway.registry.BackendRun;
import org.snowwind.model.MonotonicClock;

/**
 * What this process knows of the limits of all servers, what it wants of their rates, and
 * what it was granted. Confined to the loop.
 */
public final class SharedLimits {

	/** Peers are told of so many servers at once, those that changed last first. */
	private static final int MOST_WORDS = 64;

	private static final double MILLIS_PER_SECOND = 1000;

	private final Supplier<Stream<Backend>> backends;

	private final Function<String, Optional<Backend>> find;

	private final MonotonicClock clock;

	private final Map<String, ArrivalRate> arrivals = new HashMap<>();

	private final Map<String, Integer> waiting = new HashMap<>();

	/**
	 * Creates limits that nobody has named.
	 * @param backends lists all servers
	 * @param find finds a server by its id
	 * @param clock tells the time
	 */
	SharedLimits(Supplier<Stream<Backend>> backends, Function<String, Optional<Backend>> find, MonotonicClock clock) {
		this.backends = backends;
		this.find = find;
		this.clock = clock;
	}

	/**
	 * Takes note of a request of a caller.
	 * @param service the service's name
	 */
	public void arrived(String service) {
		this.arrivals.computeIfAbsent(service, (name) -> new ArrivalRate()).arrived(this.clock.nowMillis());
	}

	/**
	 * Takes note of requests that begin or end to wait for a server.
	 * @param service the service's name
	 * @param more how many more wait, below 0 for fewer
	 */
	public void waits(String service, int more) {
		this.waiting.merge(service, more, Integer::sum);
	}

	/**
	 * Counts the requests that wait for a server.
	 * @param service the service's name
	 * @return how many wait
	 */
	int waiting(String service) {
		return this.waiting.getOrDefault(service, 0);
	}

	/**
	 * Tells how long a further request waits for a server where all servers of its
	 * service take a limited rate.
	 * @param service the service's name
	 * @return the time, in milliseconds; 0 if a server that takes new work takes any
	 * rate, {@link Long#MAX_VALUE} if as many wait as can be expected to be sent
	 */
	long queueMillis(String service) {
		int ahead = waiting(service);
		if (ahead == 0) {
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
		return (perSecond > 0) ? Math.round(MILLIS_PER_SECOND * (ahead + 1) / perSecond) : Long.MAX_VALUE;
	}

	/**
	 * Returns what is known now, for other threads.
	 * @return the limits that stand, words for peers and wishes
	 */
	public Snapshot snapshot() {
		List<Backend> known = this.backends.get().filter((backend) -> backend.limit().known().known()).toList();
		if (known.isEmpty()) {
			return Snapshot.NONE;
		}
		List<Backend> limited = known.stream().filter((backend) -> backend.limit().known().stands()).toList();
		Map<String, Double> standing = limited.stream()
			.collect(Collectors.toUnmodifiableMap(Backend::id, (backend) -> backend.limit().known().perSecond()));
		return new Snapshot(standing, words(known), wishes(limited));
	}

	private static List<Word> words(List<Backend> known) {
		Comparator<Backend> byChange = Comparator.comparingLong((backend) -> backend.limit().known().changedMillis());
		return known.stream()
			.sorted(byChange.reversed())
			.limit(MOST_WORDS)
			.map((backend) -> new Word(backend.entry().run(), backend.limit().known().word()))
			.toList();
	}

	/**
	 * Takes note of what a peer has heard.
	 * @param words words of servers, by the own clock
	 */
	public void heard(List<Word> words) {
		long nowMillis = this.clock.nowMillis();
		words.forEach((word) -> of(word.run()).ifPresent((limit) -> limit.heard(word.word(), nowMillis)));
	}

	private Optional<BackendLimit> of(BackendRun run) {
		return this.find.apply(run.id()).filter((backend) -> backend.entry().run().mayBe(run)).map(Backend::limit);
	}

	// The requests for a service count for each of its limited servers by what that one
	// takes.
	private List<Wish> wishes(List<Backend> limited) {
		long nowMillis = this.clock.nowMillis();
		Map<String, Double> rates = limited.stream()
			.collect(Collectors.groupingBy((backend) -> backend.entry().service(),
					Collectors.summingDouble(SharedLimits::usable)));
		return limited.stream().filter(Backend::takesNewWork).map((backend) -> {
			String service = backend.entry().service();
			double wanted = perSecond(service, nowMillis) * usable(backend) / rates.get(service);
			return new Wish(backend.entry().run(), new RateWish(backend.limit().known().perSecond(), wanted,
					backend.limit().grantedPerSecond(nowMillis), waiting(service)));
		}).toList();
	}

	private double perSecond(String service, long nowMillis) {
		ArrivalRate rate = this.arrivals.get(service);
		return (rate != null) ? rate.perSecond(nowMillis) : 0;
	}

	private static double usable(Backend backend) {
		return LimitLedger.usableRate(backend.limit().known().perSecond());
	}

	/**
	 * Takes over parts of rates.
	 * @param grants the parts
	 * @param askedMillis when they were asked for, in milliseconds
	 */
	public void granted(List<Grant> grants, long askedMillis) {
		long nowMillis = this.clock.nowMillis();
		grants.forEach(
				(grant) -> of(grant.run()).ifPresent((limit) -> limit.granted(grant.grant(), askedMillis, nowMillis)));
	}

	/**
	 * What is known at one moment.
	 *
	 * @param standing the limits that stand, in requests per second by the server's id
	 * @param words what peers are told
	 * @param wishes what this process wants of each limited server
	 */
	public record Snapshot(Map<String, Double> standing, List<Word> words, List<Wish> wishes) {

		/** Nobody has named a limit. */
		public static final Snapshot NONE = new Snapshot(Map.of(), List.of(), List.of());

		/**
		 * Returns the own parts of all limits.
		 * @return requests per second
		 */
		public double grantedPerSecond() {
			return this.wishes.stream().mapToDouble((wish) -> wish.wish().heldPerSecond()).sum();
		}

	}

	/**
	 * A server's word on its limit.
	 *
	 * @param run which life of the server it is
	 * @param word the word
	 */
	public record Word(BackendRun run, LimitWord word) {

	}

	/**
	 * What is wanted of a server's rate.
	 *
	 * @param run which life of the server it is
	 * @param wish what is wanted
	 */
	public record Wish(BackendRun run, RateWish wish) {

	}

	/**
	 * A part of a server's rate.
	 *
	 * @param run which life of the server it is
	 * @param grant the part
	 */
	public record Grant(BackendRun run, RateGrant grant) {

	}

}
