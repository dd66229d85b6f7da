package org.snowwind.gateway.evacuation;

import org.snowwind.model.EraRevision;

/**
 * What is known of the evacuation of a data centre.
 *
 * @param dataCentre the name of the data centre
 * @param revision the position in the store at which the evacuation was requested or, if
 * it has ended, at which its end was seen
 * @param ended whether the evacuation has ended
 */
public record Evacuation(String dataCentre, EraRevision revision, boolean ended) {

	/** The maximum length of the name of a data centre, in characters. */
	public static final int MAX_NAME_CHARS = 120;

	/**
	 * Returns whether a text can be the name of a data centre.
	 * @param text the text, may be {@code null}
	 * @return false if it is blank or too long
	 */
	public static boolean isName(String text) {
		return text != null && !text.isBlank() && text.length() <= MAX_NAME_CHARS;
	}

}
