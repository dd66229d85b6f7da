package org.snowwind.app.measure;

import java.util.List;
import java.util.Optional;

/**
 * The registry of all measurements.
 */
public final class Measurements {

	/** All measurements. */
	public static final List<Measurement> ALL = List.of(new FootprintMeasurement(), new PathMeasurement());

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
