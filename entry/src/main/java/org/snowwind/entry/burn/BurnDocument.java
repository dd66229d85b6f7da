package org.snowwind.entry.burn;

import java.util.List;

/**
 * One entry's counts of one hour as the platform keeps them.
 *
 * @param dataCentre the entry's data centre
 * @param minutes the minutes that the entry observed, with or without requests
 * @param lines the counts
 */
public record BurnDocument(String dataCentre, List<Long> minutes, List<BurnLine> lines) {

	/**
	 * Copies the lists.
	 */
	public BurnDocument {
		minutes = List.copyOf(minutes);
		lines = List.copyOf(lines);
	}

}
