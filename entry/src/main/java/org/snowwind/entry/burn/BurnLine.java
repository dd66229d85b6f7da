package org.snowwind.entry.burn;

/**
 * How many requests of one minute fared alike.
 *
 * @param minute minutes since the epoch
 * @param organisation whose requests they were
 * @param target the name of the service or model group
 * @param cause why they were bad, {@link #GOOD} if they were good
 * @param count how many
 */
public record BurnLine(long minute, String organisation, String target, String cause, long count) {

	/** The cause of good requests. */
	public static final String GOOD = "good";

}
