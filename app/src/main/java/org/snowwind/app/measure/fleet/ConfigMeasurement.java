package org.snowwind.app.measure.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import org.snowwind.app.measure.Figure;
import org.snowwind.app.measure.MeasureOptions;
import org.snowwind.app.measure.Measurement;
import org.snowwind.app.measure.MeasurementFailed;

/**
 * How fast configuration is everywhere, and what it costs, over the number of members.
 */
public final class ConfigMeasurement implements Measurement {

	private static final double MAX_MILLIS = 2000;

	private static final double MAX_MILLIS_RELAY_KILLED = 6000;

	private static final double MAX_CORE_PERCENT = 2.6;

	private static final double MAX_KILOBYTES_PER_SECOND = 17;

	private static final double FLAT_CALLS_PER_DATA_CENTRE = 1;

	@Override
	public String name() {
		return "config";
	}

	@Override
	public String summary() {
		return "time until a change is in force everywhere, and cost of control, over the number of members";
	}

	@Override
	public List<Figure> run(MeasureOptions options) throws MeasurementFailed, InterruptedException {
		List<Figure> figures = new ArrayList<>();
		List<Integer> sizes = options.quick() ? List.of(8, 36) : List.of(8, 54, 198);
		for (int size : sizes) {
			try (MemberFleet fleet = new MemberFleet(size, options.seed())) {
				measure(fleet, options, figures, " at " + size + " members");
			}
		}
		return figures;
	}

	private static void measure(MemberFleet fleet, MeasureOptions options, List<Figure> figures, String suffix)
			throws InterruptedException, MeasurementFailed {
		MemberFleet.Cost idle = fleet.idleCost(options.repeats(10, 3) * 1000L);
		int centres = fleet.dataCentres();
		figures.add(Figure.of("platform calls a data centre" + suffix, idle.platformCallsPerSecond() / centres, "1/s")
			.atMost(FLAT_CALLS_PER_DATA_CENTRE));
		figures.add(
				Figure.of("control CPU a member" + suffix, idle.corePercent(), "% of a core").atMost(MAX_CORE_PERCENT));
		figures.add(Figure.of("control traffic a member" + suffix, idle.kilobytesPerSecond(), "KB/s")
			.atMost(MAX_KILOBYTES_PER_SECOND));
		report(figures, "steady", suffix, fleet.spread(options.repeats(10, 4), 1), MAX_MILLIS);
		report(figures, "burst of 100", suffix, fleet.spread(1, 100), MAX_MILLIS);
		fleet.killRelay();
		report(figures, "relay killed", suffix, fleet.spread(1, 1), MAX_MILLIS_RELAY_KILLED);
	}

	private static void report(List<Figure> figures, String what, String suffix, long[] sortedMillis, double most) {
		String name = String.format(Locale.ROOT, "in force, %s, ", what);
		figures.add(Figure.of(name + "p50" + suffix, sortedMillis[sortedMillis.length / 2], "ms"));
		figures.add(Figure.of(name + "p99" + suffix, sortedMillis[sortedMillis.length * 99 / 100], "ms"));
		figures.add(Figure.of(name + "max" + suffix, sortedMillis[sortedMillis.length - 1], "ms").atMost(most));
	}

}
