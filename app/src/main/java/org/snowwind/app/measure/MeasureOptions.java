package org.snowwind.app.measure;

import java.nio.file.Path;
import java.util.Map;

/**
 * How to measure.
 *
 * @param quick whether to end within 45 seconds with fewer repeats
 * @param seed makes the inputs repeatable
 * @param pids processes to read, by role
 * @param demandFile a demand trace to use in place of the built-in ones, or {@code null}
 */
public record MeasureOptions(boolean quick, long seed, Map<String, Long> pids, Path demandFile) {

	/**
	 * Copies the map.
	 */
	public MeasureOptions {
		pids = Map.copyOf(pids);
	}

	/**
	 * Chooses between a full and a quick number.
	 * @param full for a full run
	 * @param fewer for a quick run
	 * @return one of them
	 */
	public int repeats(int full, int fewer) {
		return this.quick ? fewer : full;
	}

}
