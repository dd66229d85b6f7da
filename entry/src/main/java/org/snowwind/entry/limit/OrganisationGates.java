package org.snowwind.entry.limit;

import java.util.HashMap;
import java.util.Map;

import org.snowwind.decide.admission.RetryBudget;
import org.snowwind.decide.admission.TokenBucket;
import org.snowwind.model.MonotonicClock;
import org.snowwind.model.outcome.Problem;
import org.snowwind.model.outcome.ProblemKind;
import org.snowwind.model.resource.OrganisationSpec;

/**
 * The limits of each organisation at this entry. Confined to the loop.
 */
public final class OrganisationGates {

	private static final double RETRY_FRACTION = 0.2;

	private static final double MAX_SAVED_RETRIES = 20;

	private static final long OPEN_RETRY_MILLIS = 500;

	private final MonotonicClock clock;

	private final Map<String, Gate> gates = new HashMap<>();

	private int liveEntries = 1;

	/**
	 * Creates gates for no organisations yet.
	 * @param clock tells the time
	 */
	public OrganisationGates(MonotonicClock clock) {
		this.clock = clock;
	}

	/**
	 * Takes note of how many entries share each organisation's rate.
	 * @param count how many entries live, this one included
	 */
	public void liveEntries(int count) {
		this.liveEntries = Math.max(1, count);
	}

	/**
	 * Asks for a request to be let in.
	 * @param organisation the organisation's name
	 * @param spec its limits
	 * @return {@code null} if it is let in, else why not
	 */
	public Problem enter(String organisation, OrganisationSpec spec) {
		Gate gate = this.gates.computeIfAbsent(organisation, (name) -> newGate(spec));
		gate.bucket.setLimits(spec.requestsPerSecond() / this.liveEntries, spec.burstRequests());
		if (gate.open >= spec.maxOpenRequests()) {
			return Problem
				.notRun(ProblemKind.TOO_MANY_OPEN, "the organisation has " + gate.open + " requests open here")
				.retryAfter(OPEN_RETRY_MILLIS);
		}
		if (!gate.bucket.tryTake(this.clock.nowMillis())) {
			return Problem.notRun(ProblemKind.RATE_LIMITED, "the organisation is over its rate")
				.retryAfter(Math.max(1, gate.bucket.nextTokenMillis()));
		}
		gate.open++;
		return null;
	}

	/**
	 * Takes note that a request that was let in has ended.
	 * @param organisation the organisation's name
	 */
	public void leave(String organisation) {
		this.gates.get(organisation).open--;
	}

	/**
	 * Returns the retry budget of an organisation that was let in before.
	 * @param organisation the organisation's name
	 * @return its budget
	 */
	public RetryBudget retries(String organisation) {
		return this.gates.get(organisation).retries;
	}

	/**
	 * Counts the open requests.
	 * @return of all organisations
	 */
	public int open() {
		return this.gates.values().stream().mapToInt((gate) -> gate.open).sum();
	}

	private Gate newGate(OrganisationSpec spec) {
		return new Gate(new TokenBucket(spec.requestsPerSecond(), spec.burstRequests(), this.clock.nowMillis()),
				new RetryBudget(RETRY_FRACTION, MAX_SAVED_RETRIES));
	}

	private static final class Gate {

		private final TokenBucket bucket;

		private final RetryBudget retries;

		private int open;

		private Gate(TokenBucket bucket, RetryBudget retries) {
			this.bucket = bucket;
			this.retries = retries;
		}

	}

}
