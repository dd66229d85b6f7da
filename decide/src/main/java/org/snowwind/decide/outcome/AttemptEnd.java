package org.snowwind.decide.outcome;

/**
 * How an attempt ended, as far as the sender knows.
 */
public enum AttemptEnd {

	/** No byte of the request was sent. */
	NOT_SENT(true),

	/** The agent rejected the attempt before it began. */
	REFUSED(true),

	/** The agent revoked the attempt, which therefore never begins. */
	REVOKED(true),

	/** The request was sent; it is not yet known whether the attempt began. */
	SENT_THEN_LOST(false),

	/** The request was sent, and it can no longer be determined whether it began. */
	LOST_FOR_GOOD(false),

	/** The attempt began and failed before its answer was complete. */
	BEGAN_THEN_BROKE(false),

	/** The answer arrived completely. */
	ANSWERED(false);

	private final boolean provesNotRun;

	AttemptEnd(boolean provesNotRun) {
		this.provesNotRun = provesNotRun;
	}

	/**
	 * Returns whether this end proves that the work did not run and never will run.
	 * @return true if it does
	 */
	public boolean provesNotRun() {
		return this.provesNotRun;
	}

	/**
	 * Returns whether the server may have run the work without answering completely.
	 * @return true if it may
	 */
	public boolean mayHaveRunUnanswered() {
		return !this.provesNotRun && this != ANSWERED;
	}

}
