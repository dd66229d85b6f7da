package org.snowwind.gateway.request;

import java.time.Duration;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;

/**
 * Records metrics of requests and attempts. Label values come only from the
 * configuration, from enums and from the registered statuses of HTTP, which bounds their
 * number.
 */
public final class GatewayMeters {

	private static final Duration[] BUCKETS = { Duration.ofMillis(50), Duration.ofMillis(100), Duration.ofMillis(200),
			Duration.ofMillis(400), Duration.ofMillis(800), Duration.ofMillis(1600), Duration.ofMillis(3200),
			Duration.ofMillis(6400) };

	/** Stands for all statuses that are not registered. */
	private static final String OTHER_STATUS = "other";

	private static final Set<String> STATUSES = registeredStatuses();

	private final MeterRegistry registry;

	/**
	 * Creates the meters.
	 * @param registry the registry to register the meters with
	 */
	public GatewayMeters(MeterRegistry registry) {
		this.registry = registry;
	}

	void recordRequest(String service, String outcome, long tookMillis) {
		this.registry.counter("snowwind.gateway.requests", "service", service, "outcome", label(outcome)).increment();
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

	// A server may answer with any number as its status.
	private static String label(String outcome) {
		boolean status = !outcome.isEmpty() && Character.isDigit(outcome.charAt(0));
		return (status && !STATUSES.contains(outcome)) ? OTHER_STATUS : outcome;
	}

	private static Set<String> registeredStatuses() {
		return IntStream
			.of(200, 201, 202, 203, 204, 205, 206, 207, 208, 226, 300, 301, 302, 303, 304, 305, 307, 308, 400, 401, 402,
					403, 404, 405, 406, 407, 408, 409, 410, 411, 412, 413, 414, 415, 416, 417, 418, 421, 422, 423, 424,
					425, 426, 428, 429, 431, 451, 500, 501, 502, 503, 504, 505, 506, 507, 508, 510, 511)
			.mapToObj(Integer::toString)
			.collect(Collectors.toUnmodifiableSet());
	}

	private Timer timer(String name, String service) {
		return Timer.builder(name).tag("service", service).serviceLevelObjectives(BUCKETS).register(this.registry);
	}

}
