package org.snowwind.gateway.registry;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

/**
 * Holds the newest registry and never goes back to an older one.
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
	 * Asks to be told of each registry with other servers.
	 * @param listener called on the thread that offers the registry
	 */
	public void onChange(Consumer<Registry> listener) {
		this.listeners.add(listener);
	}

	/**
	 * Takes a registry unless one as new is held.
	 * @param registry the registry
	 * @return true if it is held from now on
	 */
	public synchronized boolean offer(Registry registry) {
		boolean older = registry.revision() < this.current.revision();
		boolean same = registry.servers().equals(this.current.servers());
		if (older || (same && registry.revision() == this.current.revision())) {
			return false;
		}
		this.current = registry;
		if (!same) {
			this.listeners.forEach((listener) -> listener.accept(registry));
		}
		return true;
	}

}
