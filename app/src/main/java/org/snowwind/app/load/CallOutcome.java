package org.snowwind.app.load;

/**
 * What a caller saw.
 */
public enum CallOutcome {

	/** Its whole own answer. */
	ANSWERED,

	/** A refusal that says that the request did not run. */
	NOT_RUN,

	/** A statement that nobody knows whether it ran, or that it ran and failed. */
	UNKNOWN,

	/** A connection that visibly broke. */
	BROKEN,

	/** A cleanly ended answer that is not its own whole answer. */
	WRONG,

	/** Another refusal. */
	REJECTED

}
