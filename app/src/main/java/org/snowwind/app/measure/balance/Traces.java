package org.snowwind.app.measure.balance;

import java.util.List;

import org.snowwind.app.measure.balance.SyntheticTrace.TraceShape;

/**
 * The built-in traces.
 */
final class Traces {

	/** The name of the trace on which nothing should move. */
	static final String STATIONARY = "stationary noise";

	private static final double EXPONENT = 0.8;

	private static final double NOISE = 0.1;

	private static final double SPIKE_BEGIN = 0.6;

	private static final double SPIKE_END = 0.62;

	private Traces() {
	}

	static List<DemandTrace> all(int layers, int experts, int periods, long seed) {
		TraceShape shape = new TraceShape(layers, experts, EXPONENT, NOISE);
		return List.of(new SyntheticTrace("morning renewals", shape, periods, seed, (time) -> ramp(time, 0.4, 0.5)),
				new SyntheticTrace("evening pairings", shape, periods, seed + 1,
						(time) -> ramp(time, 0.35, 0.6) - ramp(time, 0.75, 0.95)),
				new SyntheticTrace("seasonal catalogue", shape, periods, seed + 2, (time) -> time),
				new SyntheticTrace("flash spike", shape, periods, seed + 3,
						(time) -> (time >= SPIKE_BEGIN && time < SPIKE_END) ? 1 : 0),
				new SyntheticTrace(STATIONARY, shape, periods, seed + 4, (time) -> 0));
	}

	private static double ramp(double time, double from, double to) {
		return Math.min(1, Math.max(0, (time - from) / (to - from)));
	}

}
