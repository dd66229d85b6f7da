package org.snowwind.decide.silence;

import java.util.List;

/**
 * Lists the rules on silent attempts in order of precedence and evaluates them.
 */
public final class SilenceRules {

	/** All rules; the first rule that applies decides. */
	public static final List<SilenceRule> ALL = List.of(new UnrepeatableWorkIsAwaited(),
			new UnresumableAnswerIsAwaited(), new HeardAttemptIsAwaited(), new UnaffordableReplacementIsNotSent(),
			new SilentAttemptIsReplaced());

	private SilenceRules() {
	}

	/**
	 * Evaluates the rules.
	 * @param request the request whose attempt is silent
	 * @return the decision of the first rule that applies
	 */
	public static SilenceDecision decide(SilentRequest request) {
		return decide(ALL, request);
	}

	static SilenceDecision decide(List<SilenceRule> rules, SilentRequest request) {
		for (SilenceRule rule : rules) {
			SilenceStep step = rule.decide(request);
			if (step != SilenceStep.NOT_APPLICABLE) {
				return new SilenceDecision(step, rule.getClass().getSimpleName());
			}
		}
		throw new IllegalStateException("no rule applied, although the last rule always does");
	}

}
