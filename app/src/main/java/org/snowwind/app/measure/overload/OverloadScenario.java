package org.snowwind.app.measure.overload;

import java.util.List;

import org.snowwind.app.measure.Figure;
import org.snowwind.app.measure.MeasureOptions;
import org.snowwind.app.measure.MeasurementFailed;

/**
 * One way in which load or servers misbehave.
 */
@FunctionalInterface
interface OverloadScenario {

	/**
	 * Measures.
	 * @param options how to measure
	 * @return the figures
	 * @throws MeasurementFailed if something that must work did not
	 * @throws InterruptedException if the measuring thread is interrupted
	 */
	List<Figure> run(MeasureOptions options) throws MeasurementFailed, InterruptedException;

}
