package org.snowwind.gateway.registry;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

/**
 * Holds the newest registry and rejects older ones.
 */
public final class RegistryHolder {

	private final List<Consumer<Registry>> listeners = new CopyOnWriteArrayList<>();

	private volatile Registry current = Registry.NONE;

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
		boolean older = this.current.revision().isNewerThan(registry.revision());
		boolean same = registry.servers().equals(this.current.servers());
		if (older || (same && registry.revision().equals(this.current.revision()))) {
			return false;
		}
		this.current = registry;
		if (!same) {
			this.listeners.forEach((listener) -> listener.accept(registry));
		}
		return true;
	}

}
