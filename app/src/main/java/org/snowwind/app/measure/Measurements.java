package org.snowwind.app.measure;

import java.util.List;
import java.util.Optional;

import org.snowwind.app.measure.balance.BalanceMeasurement;
import org.snowwind.app.measure.balance.PlanMeasurement;
import org.snowwind.app.measure.balance.SwitchMeasurement;
import org.snowwind.app.measure.fleet.CapacityMeasurement;
import org.snowwind.app.measure.fleet.ConfigMeasurement;
import org.snowwind.app.measure.fleet.OutageMeasurement;
import org.snowwind.app.measure.overload.OverloadMeasurement;

/**
 * The registry of all measurements.
 */
public final class Measurements {

	/** All measurements. */
	public static final List<Measurement> ALL = List.of(new FootprintMeasurement(), new PathMeasurement(),
			new OverloadMeasurement(), new ConfigMeasurement(), new OutageMeasurement(), new CapacityMeasurement(),
			new BalanceMeasurement(), new PlanMeasurement(), new SwitchMeasurement());

	private Measurements() {
	}

	/**
	 * Finds a measurement.
	 * @param name its name
	 * @return the measurement
	 */
	public static Optional<Measurement> find(String name) {
		return ALL.stream().filter((measurement) -> measurement.name().equals(name)).findFirst();
	}

}
