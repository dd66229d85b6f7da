package org.snowwind.config.settings;

import java.util.Collection;

import org.apache.commons.text.similarity.LevenshteinDistance;

/**
 * Finds the known name that is nearest to a misspelt one.
 */
public final class NearestName {

	private NearestName() {
	}

	/**
	 * Finds the nearest name by edit distance.
	 * @param wrong the misspelt name
	 * @param names the known names
	 * @return the nearest, empty if there are none
	 */
	public static String of(String wrong, Collection<String> names) {
		String nearest = "";
		int least = Integer.MAX_VALUE;
		for (String name : names) {
			int distance = LevenshteinDistance.getDefaultInstance().apply(wrong, name);
			if (distance < least) {
				least = distance;
				nearest = name;
			}
		}
		return nearest;
	}

}
