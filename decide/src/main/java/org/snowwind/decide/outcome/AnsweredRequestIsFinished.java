package org.snowwind.decide.outcome;

import org.snowwind.model.outcome.Disclosure;

/**
 * Finishes a request whose answer has arrived completely.
 *
 * <p>
 * Severity: safety.
 */
public final class AnsweredRequestIsFinished implements NextStepRule {

	@Override
	public NextStep decide(RetryContext context) {
		if (context.end() != AttemptEnd.ANSWERED) {
			return NextStep.NOT_APPLICABLE;
		}
		return NextStep.finish(Disclosure.ANSWERED, null);
	}

}
