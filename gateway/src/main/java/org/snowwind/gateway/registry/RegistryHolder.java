package org.snowwind.gateway.registry;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

import org.snowwind.model.MonotonicClock;

/**
 * Holds the newest registry and rejects older ones. Servers that were seen leaving stay
 * draining in it, also if a newer registry shows an older entry.
 */
public final class RegistryHolder {

	private final List<Consumer<Registry>> listeners = new CopyOnWriteArrayList<>();

	private final Departures departures = new Departures();

	private final MonotonicClock clock;

	/** The newest registry as it was offered. */
	private Registry offered = Registry.NONE;

	private volatile Registry current = Registry.NONE;

	/**
	 * Creates a holder of an empty registry.
	 * @param clock provides the current time
	 */
	public RegistryHolder(MonotonicClock clock) {
		this.clock = clock;
	}

	/**
	 * Returns the newest registry.
	 * @return the registry
	 */
	public Registry current() {
		return this.current;
	}

	/**
	 * Registers a listener for registries whose servers differ from those of the previous
	 * one.
	 * @param listener called on the thread that offers the registry
	 */
	public void onChange(Consumer<Registry> listener) {
		this.listeners.add(listener);
	}

	/**
	 * Replaces the current registry, unless the offered one is older or equal.
	 * @param registry the registry
	 * @return true if the registry was replaced
	 */
	public synchronized boolean offer(Registry registry) {
		boolean older = this.offered.revision().isNewerThan(registry.revision());
		if (older || registry.equals(this.offered)) {
			return false;
		}
		Registry before = this.offered;
		this.offered = registry;
		publish(before);
		return true;
	}

	/**
	 * Updates the current registry if an entry may have become valid with time.
	 */
	public synchronized void refresh() {
		if (this.departures.correctsEntries()) {
			publish(this.offered);
		}
	}

	private void publish(Registry before) {
		Registry next = this.departures.apply(before, this.offered, this.clock.nowMillis());
		boolean same = next.servers().equals(this.current.servers());
		this.current = next;
		if (!same) {
			this.listeners.forEach((listener) -> listener.accept(next));
		}
	}

}
