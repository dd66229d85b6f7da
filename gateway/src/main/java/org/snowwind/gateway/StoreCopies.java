package org.snowwind.gateway;

import java.util.Map;
import java.util.random.RandomGenerator;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import org.snowwind.config.settings.GatewaySettings;
import org.snowwind.gateway.peer.ConfirmationRank;
import org.snowwind.gateway.registry.RegistryHolder;
import org.snowwind.gateway.registry.RegistryView;
import org.snowwind.gateway.registry.RegistryWatcher;
import org.snowwind.gateway.table.TableFreshness;
import org.snowwind.gateway.table.TableHolder;
import org.snowwind.gateway.table.TableWatcher;
import org.snowwind.model.MonotonicClock;
import org.snowwind.model.duty.DutyThread;
import org.snowwind.store.ConfirmationSchedule;
import org.snowwind.store.Freshness;
import org.snowwind.store.StoreListener;
import org.snowwind.store.StoreWatch;
import org.snowwind.store.WatchPace;

/**
 * What a gateway holds of the platform's store to serve by, the route table and the
 * registry of servers, and the threads that follow it.
 */
final class StoreCopies implements AutoCloseable {

	/** How long one call waits for a change at most, as the store allows. */
	private static final long MOST_WATCH_MILLIS = 30_000;

	/**
	 * A watch that waits for longer than the store keeps its history finds it gone; no
	 * two gateways wait equally long, so that they do not end together.
	 */
	private static final double MOST_WATCH_SHARE = 0.9;

	private static final double LEAST_WATCH_SHARE = 0.75;

	private static final long WATCH_TICK_MILLIS = 100;

	/**
	 * How long changes that come together are gathered, in milliseconds; a fifth of the
	 * time in which a configuration must be in force.
	 */
	private static final long GATHER_MILLIS = 400;

	/**
	 * The longest time for changes of servers, in milliseconds: a new server gets
	 * requests, and one that is gone gets none, so much later.
	 */
	private static final long MOST_GATHER_MILLIS = 1000;

	/** Live servers are registered again two seconds after the platform's return. */
	private static final long LAPSE_GRACE_MILLIS = 2200;

	private static final int SMALL_RING = 16;

	private final GatewayAdapters adapters;

	private final ConfirmationRank rank;

	private final MonotonicClock clock;

	private final RandomGenerator random;

	private final TableHolder tables = new TableHolder();

	private final RegistryHolder registries;

	private final RegistryView registryView = new RegistryView(LAPSE_GRACE_MILLIS);

	private final TableWatcher tableWatcher;

	private final RegistryWatcher registryWatcher;

	private final TableFreshness tableFreshness;

	private final Freshness tableConfirmations;

	private final Freshness registryFreshness;

	private final StoreWatch tableWatch;

	private final StoreWatch registryWatch;

	private final DutyThread tableThread;

	private final DutyThread registryThread;

	/**
	 * Creates copies that hold nothing and are followed by nobody.
	 * @param settings the gateway's settings
	 * @param adapters the platform
	 * @param rank tells when this gateway asks the store, among all that live
	 * @param clock tells the time
	 * @param random spreads calls that are made again
	 */
	StoreCopies(GatewaySettings settings, GatewayAdapters adapters, ConfirmationRank rank, MonotonicClock clock,
			RandomGenerator random) {
		this.adapters = adapters;
		this.rank = rank;
		this.clock = clock;
		this.random = random;
		this.registries = new RegistryHolder(clock);
		this.tableWatcher = new TableWatcher(adapters.tables(), this.tables);
		this.registryWatcher = new RegistryWatcher(adapters.servers(), this.registryView, this.registries, clock);
		this.tableConfirmations = new Freshness(clock);
		this.registryFreshness = new Freshness(clock);
		this.tableFreshness = new TableFreshness(this.tables, this.tableConfirmations, tableBoundMillis(settings),
				clock);
		this.tableWatch = watch(tablePrefix(), tablePace(settings), this.tableWatcher, this.tableConfirmations);
		this.registryWatch = watch(registryPrefix(), registryPace(settings), this.registryWatcher,
				this.registryFreshness);
		this.tableThread = watchThread("table-watch", this.tableWatch, this.tableWatch::round);
		this.registryThread = watchThread("registry-watch", this.registryWatch, () -> {
			this.registryWatch.round();
			this.registryWatcher.expire();
		});
	}

	private WatchPace tablePace(GatewaySettings settings) {
		return new WatchPace(watchMillis(settings, this.random), GATHER_MILLIS,
				schedule(tablePrefix(), tableBoundMillis(settings)));
	}

	/**
	 * Returns how long a call for changes waits.
	 * @param settings the gateway's settings
	 * @param random spreads the waits of gateways
	 * @return the time, in milliseconds
	 */
	static long watchMillis(GatewaySettings settings, RandomGenerator random) {
		double share = random.nextDouble(LEAST_WATCH_SHARE, MOST_WATCH_SHARE);
		return Math.min(MOST_WATCH_MILLIS, Math.round(share * settings.historyMillis()));
	}

	/**
	 * Returns for how long the route table may be unconfirmed: it is to be in force in
	 * time, also by gateways whose connections were disrupted until a moment ago.
	 * @param settings the gateway's settings
	 * @return the time, in milliseconds
	 */
	static long tableBoundMillis(GatewaySettings settings) {
		return Math.min(settings.inForceMillis(), settings.stableMillis());
	}

	private WatchPace registryPace(GatewaySettings settings) {
		long gatherMillis = Math.max(GATHER_MILLIS, Math.min(MOST_GATHER_MILLIS, settings.drainMillis() / 4));
		long boundMillis = Math.min(settings.drainMillis(), settings.stableMillis());
		return new WatchPace(watchMillis(settings, this.random), gatherMillis, schedule(registryPrefix(), boundMillis));
	}

	private ConfirmationSchedule schedule(String prefix, long boundMillis) {
		return new ConfirmationSchedule(boundMillis, () -> this.rank.of(prefix));
	}

	private StoreWatch watch(String prefix, WatchPace pace, StoreListener listener, Freshness freshness) {
		return new StoreWatch(this.adapters.reads(), prefix, pace, listener, freshness, this.clock, this.random);
	}

	private static DutyThread watchThread(String name, StoreWatch watch, Runnable round) {
		DutyThread thread = new DutyThread(name, SMALL_RING, WATCH_TICK_MILLIS, round);
		watch.onAnswer(() -> thread.offer(round));
		return thread;
	}

	private static String kindPrefix(String key) {
		return key.substring(0, key.indexOf('/') + 1);
	}

	private String tablePrefix() {
		return kindPrefix(this.adapters.tables().key());
	}

	String registryPrefix() {
		return kindPrefix(this.adapters.servers().prefix());
	}

	/**
	 * Returns as of when each copy is confirmed.
	 * @return the freshness by the prefix of the objects' keys
	 */
	Map<String, Freshness> freshness() {
		return Map.of(tablePrefix(), this.tableConfirmations, registryPrefix(), this.registryFreshness);
	}

	TableHolder tables() {
		return this.tables;
	}

	TableWatcher tableWatcher() {
		return this.tableWatcher;
	}

	TableFreshness tableFreshness() {
		return this.tableFreshness;
	}

	RegistryHolder registries() {
		return this.registries;
	}

	/**
	 * Tells whether the store does not answer this gateway.
	 * @return true if it did not answer a call for the table or for the registry
	 */
	boolean isStoreAway() {
		return this.tableWatch.isAway() || this.registryWatch.isAway();
	}

	void registerMeters(MeterRegistry registry) {
		Gauge.builder("snowwind.gateway.table.version", this.tables, (holder) -> holder.current().version())
			.register(registry);
		Gauge.builder("snowwind.gateway.organisations.unusable", this.tables, TableHolder::unusableOrganisationCount)
			.register(registry);
		Gauge
			.builder("snowwind.gateway.table.unconfirmed.millis", this.tableFreshness,
					(freshness) -> freshness.state().unconfirmedMillis())
			.register(registry);
		Gauge
			.builder("snowwind.gateway.table.behind.millis", this.tableFreshness,
					(freshness) -> freshness.state().behindMillis())
			.register(registry);
		Gauge.builder("snowwind.gateway.servers", this.registries, (holder) -> holder.current().servers().size())
			.register(registry);
		Gauge
			.builder("snowwind.gateway.registry.unconfirmed.millis", this.registryFreshness,
					Freshness::unconfirmedMillis)
			.register(registry);
		Gauge.builder("snowwind.gateway.store.era", this.registryFreshness, Freshness::era).register(registry);
		Gauge
			.builder("snowwind.gateway.servers.cold.unreadable", this.registryWatcher,
					RegistryWatcher::unreadableColdTimeCount)
			.register(registry);
		Gauge.builder("snowwind.gateway.servers.unreadable", this.registryWatcher, RegistryWatcher::unreadableCount)
			.register(registry);
	}

	void start() {
		this.tableThread.start();
		this.registryThread.start();
	}

	@Override
	public void close() {
		this.tableThread.close();
		this.registryThread.close();
	}

}
