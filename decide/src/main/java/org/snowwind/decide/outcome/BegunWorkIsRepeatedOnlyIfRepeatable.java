package org.snowwind.decide.outcome;

import org.snowwind.model.outcome.Disclosure;
import org.snowwind.model.outcome.ProblemKind;

/**
 * Work that began, or may have, is sent again only if it is repeatable.
 *
 * <p>
 * Severity: safety.
 */
public final class BegunWorkIsRepeatedOnlyIfRepeatable implements NextStepRule {

	@Override
	public NextStep decide(Situation situation) {
		if (situation.end().provesNotRun() || situation.repeatable()) {
			return NextStep.NO_OPINION;
		}
		ProblemKind problem = situation.inTime() ? ProblemKind.BACKEND_FAILED : ProblemKind.DEADLINE;
		return NextStep.finish(Disclosure.UNKNOWN, problem);
	}

}
