package org.snowwind.model;

/**
 * Headers between an entry and an agent.
 */
public final class AttemptHeaders {

	/** What all of them begin with; callers' headers of this name are dropped. */
	public static final String PREFIX = "snowwind-";

	/** The attempt's id. */
	public static final String ATTEMPT = PREFIX + "attempt";

	/** The incarnation of the agent that the attempt is meant for. */
	public static final String INCARNATION = PREFIX + "incarnation";

	/** What is left of the request's budget, in milliseconds. */
	public static final String BUDGET_MILLIS = PREFIX + "budget-millis";

	/** How long the entry waits for the answer to begin, in milliseconds. */
	public static final String HEAD_WITHIN_MILLIS = PREFIX + "head-within-millis";

	/** The organisation whose request it is. */
	public static final String ORGANISATION = PREFIX + "organisation";

	/** The credential of the fleet. */
	public static final String CREDENTIAL = PREFIX + "credential";

	/** Whether the work may run more than once. */
	public static final String REPEATABLE = PREFIX + "repeatable";

	/** From which token on the answer is wanted. */
	public static final String RESUME_AT = PREFIX + "resume-at";

	/** What the work costs, for fairness. */
	public static final String COST = PREFIX + "cost";

	/** Set by an agent that refuses; the problem's code. */
	public static final String REFUSAL = PREFIX + "refusal";

	private AttemptHeaders() {
	}

}
