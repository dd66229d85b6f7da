package org.snowwind.decide.outcome;

import java.util.List;

/**
 * Lists the rules in order of precedence and evaluates them.
 */
public final class NextStepRules {

	/** All rules; the first rule that applies decides. */
	public static final List<NextStepRule> ALL = List.of(new AnsweredRequestIsFinished(),
			new DeliveredBytesAreOnlyContinued(), new LostAttemptIsRevokedFirst(),
			new BegunWorkIsRepeatedOnlyIfRepeatable(), new SpentBudgetEndsTheRequest(), new RemainingWorkIsRetried());

	private NextStepRules() {
	}

	/**
	 * Evaluates the rules.
	 * @param context the state of the request after the attempt
	 * @return the next step
	 */
	public static NextStep decide(RetryContext context) {
		return decide(ALL, context);
	}

	static NextStep decide(List<NextStepRule> rules, RetryContext context) {
		for (NextStepRule rule : rules) {
			NextStep step = rule.decide(context);
			if (step != NextStep.NOT_APPLICABLE) {
				return step;
			}
		}
		throw new IllegalStateException("no rule applied, although the last rule always does");
	}

}
