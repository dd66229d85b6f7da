package org.snowwind.gateway;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.netty.util.internal.PlatformDependent;
import org.snowwind.gateway.backend.MemoryShortage;
import org.snowwind.gateway.backend.RequestSizes;
import org.snowwind.http.server.HeldBytes;
import org.snowwind.model.event.Event;
import org.snowwind.model.event.EventLog;

/**
 * The parts of a gateway that keep it and the servers within their memory. Without the
 * feature they bound and check nothing.
 */
final class GatewayMemory {

	private static final long BYTES_PER_MEGABYTE = 1024 * 1024;

	private final boolean bounded;

	private final HeldBytes heldBytes;

	private final RequestSizes sizes;

	/**
	 * Creates the parts.
	 * @param memoryMegabytes the memory of the VM, in megabytes; 0 if the feature is off
	 */
	GatewayMemory(long memoryMegabytes) {
		this.bounded = memoryMegabytes > 0;
		this.sizes = new RequestSizes(this.bounded);
		this.heldBytes = this.bounded ? bound(memoryMegabytes * BYTES_PER_MEGABYTE) : HeldBytes.unbounded();
	}

	private static HeldBytes bound(long vmBytes) {
		long heapBytes = Runtime.getRuntime().maxMemory();
		long directBytes = PlatformDependent.maxDirectMemory();
		HeldBytes held = HeldBytes.within(vmBytes, heapBytes, directBytes);
		EventLog.log(Event.HELD_BYTES_BOUNDED, "boundBytes", held.boundBytes(), "vmBytes", vmBytes, "heapBytes",
				heapBytes, "directBytes", directBytes);
		return held;
	}

	/**
	 * Returns what is held for callers.
	 * @return the count, unbounded if the feature is off
	 */
	HeldBytes heldBytes() {
		return this.heldBytes;
	}

	/**
	 * Returns the sizes of requests.
	 * @return the sizes
	 */
	RequestSizes sizes() {
		return this.sizes;
	}

	/**
	 * Registers the metrics, if the feature is on.
	 * @param registry the registry to register them with
	 * @param shortage counts servers left out for their memory
	 */
	void registerMeters(MeterRegistry registry, MemoryShortage shortage) {
		if (!this.bounded) {
			return;
		}
		Gauge.builder("snowwind.gateway.held.bytes", this.heldBytes, HeldBytes::sumBytes).register(registry);
		Gauge.builder("snowwind.gateway.held.bound.bytes", this.heldBytes, HeldBytes::boundBytes).register(registry);
		FunctionCounter
			.builder("snowwind.gateway.held.connections.closed", this.heldBytes, HeldBytes::closedConnections)
			.register(registry);
		FunctionCounter.builder("snowwind.gateway.servers.short.of.memory", shortage, MemoryShortage::count)
			.register(registry);
	}

}
