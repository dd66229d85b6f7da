package org.snowwind.decide.outcome;

import org.junit.jupiter.api.Test;
import org.snowwind.model.outcome.Disclosure;

import static org.assertj.core.api.Assertions.assertThat;

class AnsweredRequestIsFinishedTests {

	private final NextStepRule rule = new AnsweredRequestIsFinished();

	@Test
	void answeredRequestIsFinished() {
		assertThat(this.rule.decide(RetryContexts.after(AttemptEnd.ANSWERED, false)))
			.isEqualTo(NextStep.finish(Disclosure.ANSWERED, null));
	}

	@Test
	void doesNotApplyToOtherEnds() {
		assertThat(this.rule.decide(RetryContexts.after(AttemptEnd.BEGAN_THEN_BROKE, true)))
			.isSameAs(NextStep.NOT_APPLICABLE);
	}

}
