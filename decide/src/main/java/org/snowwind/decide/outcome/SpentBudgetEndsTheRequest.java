package org.snowwind.decide.outcome;

import org.snowwind.model.outcome.Disclosure;
import org.snowwind.model.outcome.ProblemKind;

/**
 * Ends a request at once if it has no time, attempts, retry budget or servers left.
 *
 * <p>
 * Severity: policy.
 */
public final class SpentBudgetEndsTheRequest implements NextStepRule {

	@Override
	public NextStep decide(RetryContext context) {
		if (context.anotherAttemptAffordable()) {
			return NextStep.NOT_APPLICABLE;
		}
		if (context.mayHaveRun()) {
			ProblemKind problem = context.hasTimeLeft() ? ProblemKind.BACKEND_FAILED : ProblemKind.DEADLINE;
			return NextStep.finish(Disclosure.UNKNOWN, problem);
		}
		if (!context.hasTimeLeft()) {
			return NextStep.finish(Disclosure.NOT_RUN, ProblemKind.DEADLINE_NOT_RUN);
		}
		ProblemKind rejection = (context.rejection() != null) ? context.rejection() : ProblemKind.NO_SERVER;
		return NextStep.finish(Disclosure.NOT_RUN, rejection);
	}

}
