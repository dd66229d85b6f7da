package org.snowwind.gateway.evacuation;

import java.io.IOException;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import org.snowwind.gateway.peer.ConfirmationRank;
import org.snowwind.model.Json;
import org.snowwind.model.MonotonicClock;
import org.snowwind.model.duty.DutyThread;
import org.snowwind.store.AsyncObjectStore;
import org.snowwind.store.ConfirmationSchedule;
import org.snowwind.store.Freshness;
import org.snowwind.store.StoreWatch;
import org.snowwind.store.WatchPace;
import org.snowwind.wire.generated.GatewayReport;

/**
 * Follows the evacuations of data centres in the store and in the reports of peers, and
 * tells peers of them.
 *
 * <p>
 * Only a few gateways keep a call waiting at the store, so that the calls of a fleet do
 * not grow with its size. The others learn of changes from reports, and ask the store if
 * nothing has confirmed their copy for too long.
 */
public final class EvacuationDuty implements AutoCloseable {

	/**
	 * The number of gateways that wait for changes: any two of them may be silent or
	 * frozen.
	 */
	private static final int WAITING_GATEWAYS = 3;

	private static final long WATCH_TICK_MILLIS = 100;

	/** How long changes that come together are gathered, in milliseconds. */
	private static final long GATHER_MILLIS = 200;

	private static final int SMALL_RING = 16;

	private final String name;

	private final String prefix;

	private final boolean enabled;

	private final EvacuationBook book;

	private final EvacuationBoard board;

	private final EvacuationWatcher watcher;

	private final Freshness freshness;

	private final MonotonicClock clock;

	private final long knownByMillis;

	private final DutyThread thread;

	private volatile boolean heard;

	/**
	 * Creates a duty that makes no call yet.
	 * @param name the name of this gateway
	 * @param store the platform's store and the decoder of its objects
	 * @param timing the bounds on the age of the copy
	 * @param listener called with the names of all evacuated data centres when they have
	 * changed
	 * @param clock provides the current time
	 * @param random spreads calls that are made again
	 */
	public EvacuationDuty(String name, StoreAccess store, Timing timing, Consumer<Set<String>> listener,
			MonotonicClock clock, RandomGenerator random) {
		this.name = name;
		this.prefix = store.decoder().prefix();
		this.enabled = timing.boundMillis() > 0;
		this.clock = clock;
		this.knownByMillis = clock.nowMillis() + timing.boundMillis();
		this.board = new EvacuationBoard(clock);
		this.book = new EvacuationBook((inForce) -> {
			this.board.record(name, inForce);
			listener.accept(inForce);
		});
		this.watcher = new EvacuationWatcher(store.decoder(), this.book);
		this.freshness = new Freshness(clock);
		WatchPace pace = new WatchPace(timing.watchMillis(), GATHER_MILLIS,
				new ConfirmationSchedule(Math.max(1, timing.boundMillis()), () -> timing.rank().of(this.prefix)),
				() -> timing.rank().of(this.prefix) < WAITING_GATEWAYS);
		StoreWatch watch = new StoreWatch(store.reads(), this.prefix, pace, this.watcher, this.freshness, clock,
				random);
		this.thread = new DutyThread("evacuation-watch", SMALL_RING, WATCH_TICK_MILLIS, watch::round);
		watch.onAnswer(() -> this.thread.offer(watch::round));
	}

	/**
	 * Returns as of when the copy of the evacuations is confirmed.
	 * @return the freshness by the prefix of the objects' keys, empty if data centres are
	 * not evacuated in this deployment
	 */
	public Map<String, Freshness> freshness() {
		return this.enabled ? Map.of(this.prefix, this.freshness) : Map.of();
	}

	/**
	 * Starts to watch the store, if data centres are evacuated in this deployment.
	 */
	public void start() {
		if (this.enabled) {
			this.thread.start();
		}
	}

	/**
	 * Returns whether this process knows which data centres are evacuated. After the
	 * bound on the age of the copy it no longer matters that neither the store nor a peer
	 * was heard.
	 * @return true if data centres are not evacuated in this deployment, or from the
	 * first listing or report on
	 */
	public boolean isKnown() {
		return !this.enabled || this.heard || this.freshness.claim().isPresent()
				|| this.clock.nowMillis() >= this.knownByMillis;
	}

	/**
	 * Adds what this process knows of evacuations to a report.
	 * @param report the report
	 */
	public void addNews(GatewayReport report) {
		if (this.enabled) {
			report.setEvacuations(EvacuationMessages.toMessages(this.book.news()));
		}
	}

	/**
	 * Applies the report of a peer.
	 * @param report the report
	 */
	public void applyReport(GatewayReport report) {
		if (!this.enabled || !report.isSetEvacuations()) {
			return;
		}
		List<Evacuation> news = EvacuationMessages.fromMessages(report.getEvacuations());
		// A peer that has just started knows as little.
		boolean peerKnows = report.isSetClaims()
				&& report.getClaims().stream().anyMatch((claim) -> claim.getPrefix().equals(this.prefix));
		this.heard = this.heard || peerKnows;
		Set<String> inForce = new HashSet<>();
		news.stream().filter((evacuation) -> !evacuation.ended()).map(Evacuation::dataCentre).forEach(inForce::add);
		this.board.record(report.getName(), inForce);
		this.book.applyNews(news, report.getName());
	}

	/**
	 * Returns the pages for operators.
	 * @param livePeers provides the names of the peers that live
	 * @return the text of each page by its path, empty if data centres are not evacuated
	 * in this deployment
	 */
	public Map<String, Supplier<String>> pages(Supplier<Set<String>> livePeers) {
		return this.enabled ? Map.of("/evacuations", () -> describe(livePeers.get())) : Map.of();
	}

	/**
	 * Returns the evacuations in force at this gateway and its peers as JSON.
	 * @param livePeers the names of the peers that live
	 * @return a JSON object
	 */
	String describe(Set<String> livePeers) {
		Set<String> gateways = new HashSet<>(livePeers);
		gateways.add(this.name);
		try {
			return Json.MAPPER.writeValueAsString(Map.of("evacuations", this.board.lines(gateways)));
		}
		catch (IOException ex) {
			throw new IllegalStateException("the lines always serialize", ex);
		}
	}

	/**
	 * Registers the metrics, if data centres are evacuated in this deployment.
	 * @param registry takes the meters
	 * @param knownDataCentres provides the names of the data centres that have servers
	 */
	public void registerMeters(MeterRegistry registry, Supplier<Set<String>> knownDataCentres) {
		if (!this.enabled) {
			return;
		}
		Gauge.builder("snowwind.gateway.evacuations", () -> this.book.inForce().size()).register(registry);
		Gauge
			.builder("snowwind.gateway.evacuations.unknown",
					() -> this.book.inForce()
						.stream()
						.filter((dataCentre) -> !knownDataCentres.get().contains(dataCentre))
						.count())
			.register(registry);
		Gauge.builder("snowwind.gateway.evacuations.unreadable", this.watcher, EvacuationWatcher::faultCount)
			.register(registry);
		Gauge.builder("snowwind.gateway.evacuations.unconfirmed.millis", this.freshness, Freshness::unconfirmedMillis)
			.register(registry);
	}

	@Override
	public void close() {
		this.thread.close();
	}

	/**
	 * How evacuations are read.
	 *
	 * @param reads the platform's store
	 * @param decoder decodes evacuations
	 */
	public record StoreAccess(AsyncObjectStore reads, EvacuationDecoder decoder) {

	}

	/**
	 * How old the copy may be and how the store is asked.
	 *
	 * @param boundMillis the time for which the copy may be unconfirmed, in milliseconds;
	 * 0 if data centres are not evacuated in this deployment
	 * @param watchMillis how long a call waits for a change, in milliseconds
	 * @param rank determines which gateways ask the store first
	 */
	public record Timing(long boundMillis, long watchMillis, ConfirmationRank rank) {

	}

}
