package org.snowwind.app.measure;

import java.util.List;

/**
 * One named measurement.
 */
public interface Measurement {

	/**
	 * Returns the name by which it is called.
	 * @return the name
	 */
	String name();

	/**
	 * Returns what it measures.
	 * @return one line
	 */
	String summary();

	/**
	 * Measures.
	 * @param options how to measure
	 * @return the figures
	 * @throws MeasurementFailed if something that must work did not
	 * @throws InterruptedException if the measuring thread is interrupted
	 */
	List<Figure> run(MeasureOptions options) throws MeasurementFailed, InterruptedException;

}
