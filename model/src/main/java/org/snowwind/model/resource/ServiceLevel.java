package org.snowwind.model.resource;

/**
 * What an organisation is promised.
 *
 * @param targetShare the share of requests that should be good, below 1
 * @param firstByteMillis a good answer begins within this, in milliseconds
 * @param wholeAnswerMillis a good answer ends within this, in milliseconds
 */
public record ServiceLevel(double targetShare, long firstByteMillis, long wholeAnswerMillis) {

	/** The level of an organisation that configures none. */
	public static final ServiceLevel DEFAULT = new ServiceLevel(0.95, 330, 30_000);

}
