package org.snowwind.decide.outcome;

import org.snowwind.model.outcome.Disclosure;
import org.snowwind.model.outcome.ProblemKind;

/**
 * An answer of which bytes were delivered is continued at its offset or broken off, never
 * restarted.
 *
 * <p>
 * Severity: safety.
 */
public final class DeliveredBytesAreOnlyContinued implements NextStepRule {

	@Override
	public NextStep decide(Situation situation) {
		if (situation.bytesDelivered() == 0) {
			return NextStep.NO_OPINION;
		}
		boolean mayContinue = situation.repeatable() && situation.resumable();
		if (mayContinue && situation.anotherAttemptAffordable()) {
			return NextStep.RESUME;
		}
		ProblemKind problem = situation.inTime() ? ProblemKind.BACKEND_FAILED : ProblemKind.DEADLINE;
		return NextStep.finish(Disclosure.FAILED, problem);
	}

}
