package org.snowwind.decide.outcome;

import org.junit.jupiter.api.Test;
import org.snowwind.model.outcome.Disclosure;

import static org.assertj.core.api.Assertions.assertThat;

class AnsweredRequestIsFinishedTests {

	private final NextStepRule rule = new AnsweredRequestIsFinished();

	@Test
	void answeredIsFinished() {
		assertThat(this.rule.decide(Situations.after(AttemptEnd.ANSWERED, false)))
			.isEqualTo(NextStep.finish(Disclosure.ANSWERED, null));
	}

	@Test
	void othersAreNotItsBusiness() {
		assertThat(this.rule.decide(Situations.after(AttemptEnd.BEGAN_THEN_BROKE, true))).isSameAs(NextStep.NO_OPINION);
	}

}
