package org.snowwind.decide.outcome;

import org.snowwind.model.outcome.ProblemKind;

/**
 * Request states for tests, which differ from a common one in a few values.
 */
final class RetryContexts {

	private RetryContexts() {
	}

	static RetryContext after(AttemptEnd end, boolean repeatable) {
		return new RetryContext(end, repeatable, true, 0, 1, 3, 1000, true, true, false, null);
	}

	static RetryContext delivered(AttemptEnd end, boolean repeatable, boolean resumable) {
		return new RetryContext(end, repeatable, resumable, 100, 1, 3, 1000, true, true, false, null);
	}

	static RetryContext spent(AttemptEnd end, boolean repeatable, long remainingMillis, ProblemKind refusal) {
		return new RetryContext(end, repeatable, true, 0, 3, 3, remainingMillis, true, true, false, refusal);
	}

}
