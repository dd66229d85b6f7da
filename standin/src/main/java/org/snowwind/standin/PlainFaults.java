package org.snowwind.standin;

/**
 * What is wrong with a stand-in plain service.
 *
 * @param delayMillis how long each call takes, in milliseconds
 * @param breakAt where the connection breaks
 * @param breaks how many calls break so before the service behaves again
 */
public record PlainFaults(long delayMillis, BreakAt breakAt, int breaks) {

	/** Nothing is wrong. */
	public static final PlainFaults NONE = new PlainFaults(0, BreakAt.NOWHERE, 0);

	/**
	 * Where a connection breaks.
	 */
	public enum BreakAt {

		/** Nowhere. */
		NOWHERE,

		/** Before the effect. */
		BEFORE_EFFECT,

		/** After the effect and before the answer. */
		AFTER_EFFECT,

		/** In the middle of the answer. */
		MID_ANSWER,

		/** After the last byte of the answer and before its end. */
		BEFORE_END

	}

}
