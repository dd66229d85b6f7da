package org.snowwind.app.soak;

import java.util.List;

/**
 * A promise to callers or servers that a history keeps or breaks.
 */
interface SoakRule {

	/**
	 * Finds where the promise is broken.
	 * @param history what was seen
	 * @return one line each, empty if it is kept
	 */
	List<String> broken(SoakHistory history);

}
