package org.snowwind.decide.silence;

/**
 * What is done about a silent attempt. The attempt itself is never ended by a step: it
 * may still answer until another attempt of the request has.
 */
public enum SilenceStep {

	/** The rule does not apply. */
	NOT_APPLICABLE,

	/** Nothing is sent; the attempt is awaited. */
	AWAIT,

	/** A replacement is sent beside the attempt if a server has room. */
	REPLACE

}
