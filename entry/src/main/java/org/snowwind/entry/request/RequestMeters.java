package org.snowwind.entry.request;

import java.time.Duration;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import org.snowwind.model.outcome.Disclosure;
import org.snowwind.model.outcome.ProblemKind;

/**
 * Counts requests by organisation, target and outcome. Only names from the configuration
 * become labels.
 */
public final class RequestMeters {

	private static final String ORGANISATION = "organisation";

	private static final String TARGET = "target";

	private static final String NONE = "none";

	private final MeterRegistry registry;

	/**
	 * Creates the meters.
	 * @param registry where they are registered
	 */
	public RequestMeters(MeterRegistry registry) {
		this.registry = registry;
	}

	void ended(CallerRequest request, Disclosure disclosure, ProblemKind problem) {
		Counter.builder("snowwind.requests")
			.tag(ORGANISATION, request.organisation())
			.tag(TARGET, request.target())
			.tag("outcome", disclosure.headerValue())
			.tag("problem", (problem != null) ? problem.code() : NONE)
			.register(this.registry)
			.increment();
	}

	void turnedAway(ProblemKind problem) {
		Counter.builder("snowwind.requests.turned.away")
			.tag("problem", problem.code())
			.register(this.registry)
			.increment();
	}

	void firstByte(CallerRequest request, long afterMillis) {
		Timer.builder("snowwind.first.byte")
			.tag(ORGANISATION, request.organisation())
			.tag(TARGET, request.target())
			.register(this.registry)
			.record(Duration.ofMillis(afterMillis));
	}

	void attempt(CallerRequest request, String end) {
		Counter.builder("snowwind.attempts")
			.tag(TARGET, request.target())
			.tag("end", end)
			.register(this.registry)
			.increment();
	}

}
