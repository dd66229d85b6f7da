package org.snowwind.decide.outcome;

import org.snowwind.model.outcome.Disclosure;
import org.snowwind.model.outcome.ProblemKind;

/**
 * Resumes an answer at its offset or ends the request once bytes have been delivered to
 * the caller. Such an answer is never restarted.
 *
 * <p>
 * Severity: safety.
 */
public final class DeliveredBytesAreOnlyContinued implements NextStepRule {

	@Override
	public NextStep decide(RetryContext context) {
		if (context.bytesDelivered() == 0) {
			return NextStep.NOT_APPLICABLE;
		}
		boolean mayResume = context.repeatable() && context.resumable();
		if (mayResume && context.anotherAttemptAffordable()) {
			return NextStep.RESUME;
		}
		ProblemKind problem = context.hasTimeLeft() ? ProblemKind.BACKEND_FAILED : ProblemKind.DEADLINE;
		return NextStep.finish(Disclosure.FAILED, problem);
	}

}
