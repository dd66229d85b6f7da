package org.snowwind.gateway.request;

import java.time.Duration;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;

/**
 * Records metrics of requests and attempts. Label values come only from the configuration
 * and from enums, which bounds their number.
 */
public final class GatewayMeters {

	private static final Duration[] BUCKETS = { Duration.ofMillis(50), Duration.ofMillis(100), Duration.ofMillis(200),
			Duration.ofMillis(400), Duration.ofMillis(800), Duration.ofMillis(1600), Duration.ofMillis(3200),
			Duration.ofMillis(6400) };

	private final MeterRegistry registry;

	/**
	 * Creates the meters.
	 * @param registry the registry to register the meters with
	 */
	public GatewayMeters(MeterRegistry registry) {
		this.registry = registry;
	}

	void recordRequest(String service, String outcome, long tookMillis) {
		this.registry.counter("snowwind.gateway.requests", "service", service, "outcome", outcome).increment();
		timer("snowwind.gateway.request.duration", service).record(Duration.ofMillis(tookMillis));
	}

	void recordFirstByte(String service, long tookMillis) {
		timer("snowwind.gateway.first.byte", service).record(Duration.ofMillis(tookMillis));
	}

	void recordPause(String service, long pauseMillis) {
		timer("snowwind.gateway.event.pause", service).record(Duration.ofMillis(pauseMillis));
	}

	void countAttempt(String service, String end) {
		this.registry.counter("snowwind.gateway.attempts", "service", service, "end", end).increment();
	}

	void countStep(String service, String step, boolean withinEvent) {
		this.registry
			.counter("snowwind.gateway.steps", "service", service, "step", step, "within.event",
					Boolean.toString(withinEvent))
			.increment();
	}

	void countPriority(String service, int priority, String step) {
		this.registry
			.counter("snowwind.gateway.priority.requests", "service", service, "priority", Integer.toString(priority),
					"step", step)
			.increment();
	}

	private Timer timer(String name, String service) {
		return Timer.builder(name).tag("service", service).serviceLevelObjectives(BUCKETS).register(this.registry);
	}

}
