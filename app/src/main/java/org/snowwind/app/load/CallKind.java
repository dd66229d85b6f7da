package org.snowwind.app.load;

/**
 * The kinds of requests that callers make.
 */
public enum CallKind {

	/** A generated answer, repeatable. */
	GENERATE,

	/** A look-up at the plain service, repeatable. */
	LOOKUP,

	/** A charge at the plain service, which must run at most once. */
	CHARGE

}
