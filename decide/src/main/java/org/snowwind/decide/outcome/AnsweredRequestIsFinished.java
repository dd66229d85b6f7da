package org.snowwind.decide.outcome;

import org.snowwind.model.outcome.Disclosure;

/**
 * A request whose whole answer arrived is finished.
 *
 * <p>
 * Severity: safety.
 */
public final class AnsweredRequestIsFinished implements NextStepRule {

	@Override
	public NextStep decide(Situation situation) {
		if (situation.end() != AttemptEnd.ANSWERED) {
			return NextStep.NO_OPINION;
		}
		return NextStep.finish(Disclosure.ANSWERED, null);
	}

}
