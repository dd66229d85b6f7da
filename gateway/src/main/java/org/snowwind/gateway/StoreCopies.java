package org.snowwind.gateway;

import java.util.random.RandomGenerator;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import org.snowwind.config.settings.GatewaySettings;
import org.snowwind.gateway.registry.RegistryHolder;
import org.snowwind.gateway.registry.RegistryView;
import org.snowwind.gateway.registry.RegistryWatcher;
import org.snowwind.gateway.table.TableFreshness;
import org.snowwind.gateway.table.TableHolder;
import org.snowwind.gateway.table.TableWatcher;
import org.snowwind.model.MonotonicClock;
import org.snowwind.model.duty.DutyThread;
import org.snowwind.store.Freshness;
import org.snowwind.store.StoreWatch;

/**
 * What a gateway holds of the platform's store to serve by, the route table and the
 * registry of servers, and the threads that follow it.
 */
final class StoreCopies implements AutoCloseable {

	/** How long one call waits for a change, in milliseconds: 12 calls a minute. */
	private static final long WATCH_MILLIS = 5000;

	/** The same while a lapsed server must be dropped in time. */
	private static final long SHORT_WATCH_MILLIS = 500;

	private static final long WATCH_TICK_MILLIS = 40;

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

	private final MonotonicClock clock;

	private final RandomGenerator random;

	private final TableHolder tables = new TableHolder();

	private final RegistryHolder registries = new RegistryHolder();

	private final RegistryView registryView = new RegistryView(LAPSE_GRACE_MILLIS);

	private final TableWatcher tableWatcher;

	private final RegistryWatcher registryWatcher;

	private final TableFreshness tableFreshness;

	private final Freshness registryFreshness;

	private final DutyThread tableThread;

	private final DutyThread registryThread;

	/**
	 * Creates copies that hold nothing and are followed by nobody.
	 * @param settings the gateway's settings
	 * @param adapters the platform
	 * @param clock tells the time
	 * @param random spreads calls that are made again
	 */
	StoreCopies(GatewaySettings settings, GatewayAdapters adapters, MonotonicClock clock, RandomGenerator random) {
		this.adapters = adapters;
		this.clock = clock;
		this.random = random;
		this.tableWatcher = new TableWatcher(adapters.tables(), this.tables);
		this.registryWatcher = new RegistryWatcher(adapters.servers(), this.registryView, this.registries, clock);
		StoreWatch tableWatch = tableWatch();
		StoreWatch registryWatch = registryWatch(settings.drainMillis());
		this.tableFreshness = new TableFreshness(this.tables, tableWatch.freshness(), clock);
		this.registryFreshness = registryWatch.freshness();
		this.tableThread = watchThread("table-watch", tableWatch);
		this.registryThread = watchThread("registry-watch", registryWatch);
	}

	private StoreWatch tableWatch() {
		StoreWatch.Pace pace = new StoreWatch.Pace(() -> WATCH_MILLIS, GATHER_MILLIS);
		return watch(this.adapters.tables().key(), pace, this.tableWatcher);
	}

	private StoreWatch registryWatch(long drainMillis) {
		long gatherMillis = Math.max(GATHER_MILLIS, Math.min(MOST_GATHER_MILLIS, drainMillis / 4));
		StoreWatch.Pace pace = new StoreWatch.Pace(
				() -> this.registryView.keepsLapsed() ? SHORT_WATCH_MILLIS : WATCH_MILLIS, gatherMillis);
		return watch(this.adapters.servers().prefix(), pace, this.registryWatcher);
	}

	private StoreWatch watch(String prefix, StoreWatch.Pace pace, StoreWatch.Listener listener) {
		return new StoreWatch(this.adapters.store(), prefix.substring(0, prefix.indexOf('/') + 1), pace, listener,
				this.clock, this.random);
	}

	private static DutyThread watchThread(String name, StoreWatch watch) {
		return new DutyThread(name, SMALL_RING, WATCH_TICK_MILLIS, watch::round);
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
	 * Tells whether the platform did not answer the last call for the registry.
	 * @return true if it did not
	 */
	boolean isPlatformAway() {
		return this.registryWatcher.away();
	}

	void registerMeters(MeterRegistry registry) {
		Gauge.builder("snowwind.gateway.table.version", this.tables, (holder) -> holder.current().version())
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
		Gauge.builder("snowwind.gateway.servers.unreadable", this.registryWatcher, RegistryWatcher::unreadable)
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
