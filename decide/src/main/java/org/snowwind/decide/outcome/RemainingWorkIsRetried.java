package org.snowwind.decide.outcome;

/**
 * Retries the request on another server if no other rule applies.
 *
 * <p>
 * Severity: policy.
 */
public final class RemainingWorkIsRetried implements NextStepRule {

	@Override
	public NextStep decide(RetryContext context) {
		return NextStep.SEND;
	}

}
