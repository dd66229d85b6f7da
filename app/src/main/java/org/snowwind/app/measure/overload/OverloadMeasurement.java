package org.snowwind.app.measure.overload;

import java.util.ArrayList;
import java.util.List;

import org.snowwind.app.measure.Figure;
import org.snowwind.app.measure.MeasureOptions;
import org.snowwind.app.measure.Measurement;
import org.snowwind.app.measure.MeasurementFailed;

/**
 * Isolation, opening hour, stalled and leaving servers, and seeded faults.
 */
public final class OverloadMeasurement implements Measurement {

	private static final List<OverloadScenario> SCENARIOS = List.of(new FloodScenario(), new OpeningHourScenario(),
			new StalledServerScenario(), new LeavingServerScenario(), new SeededFaultsScenario());

	@Override
	public String name() {
		return "overload";
	}

	@Override
	public String summary() {
		return "a flood, opening hour, stalled and leaving servers, seeded faults, against a plain balancer";
	}

	@Override
	public List<Figure> run(MeasureOptions options) throws MeasurementFailed, InterruptedException {
		List<Figure> figures = new ArrayList<>();
		for (OverloadScenario scenario : SCENARIOS) {
			figures.addAll(scenario.run(options));
		}
		return figures;
	}

}
