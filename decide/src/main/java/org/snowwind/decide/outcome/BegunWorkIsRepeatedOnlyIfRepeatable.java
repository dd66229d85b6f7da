package org.snowwind.decide.outcome;

import org.snowwind.model.outcome.Disclosure;
import org.snowwind.model.outcome.ProblemKind;

/**
 * Ends a request whose work began, or may have begun, unless the work is repeatable.
 *
 * <p>
 * Severity: safety.
 */
public final class BegunWorkIsRepeatedOnlyIfRepeatable implements NextStepRule {

	@Override
	public NextStep decide(RetryContext context) {
		if (context.end().provesNotRun() || context.repeatable()) {
			return NextStep.NOT_APPLICABLE;
		}
		ProblemKind problem = context.hasTimeLeft() ? ProblemKind.BACKEND_FAILED : ProblemKind.DEADLINE;
		return NextStep.finish(Disclosure.UNKNOWN, problem);
	}

}
