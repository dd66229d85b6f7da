package org.snowwind.model.outcome;

/**
 * What a caller is told about whether its request ran.
 */
public enum Disclosure {

	/** The whole answer of the back end is on its way or delivered. */
	ANSWERED("answered"),

	/** It is proved that the request did not run and never will. */
	NOT_RUN("not-run"),

	/** The request began and then failed. */
	FAILED("failed"),

	/** The request may have run; nobody can prove either way. */
	UNKNOWN("unknown");

	/** The response header that carries the disclosure. */
	public static final String HEADER = "X-Snowwind-Outcome";

	private final String headerValue;

	Disclosure(String headerValue) {
		this.headerValue = headerValue;
	}

	/**
	 * Returns the value of the response header.
	 * @return the value, lower case
	 */
	public String headerValue() {
		return this.headerValue;
	}

}
