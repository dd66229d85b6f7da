package org.snowwind.decide.outcome;

/**
 * What no other rule ends is tried again on another server.
 *
 * <p>
 * Severity: policy.
 */
public final class RemainingWorkIsRetried implements NextStepRule {

	@Override
	public NextStep decide(Situation situation) {
		return NextStep.SEND;
	}

}
