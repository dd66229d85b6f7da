package org.snowwind.decide.outcome;

import org.junit.jupiter.api.Test;
import org.snowwind.model.outcome.Disclosure;
import org.snowwind.model.outcome.ProblemKind;

import static org.assertj.core.api.Assertions.assertThat;

class BegunWorkIsRepeatedOnlyIfRepeatableTests {

	private final NextStepRule rule = new BegunWorkIsRepeatedOnlyIfRepeatable();

	@Test
	void begunWorkEndsTheRequestAsUnknown() {
		NextStep unknown = NextStep.finish(Disclosure.UNKNOWN, ProblemKind.BACKEND_FAILED);
		assertThat(this.rule.decide(RetryContexts.after(AttemptEnd.BEGAN_THEN_BROKE, false))).isEqualTo(unknown);
		assertThat(this.rule.decide(RetryContexts.after(AttemptEnd.LOST_FOR_GOOD, false))).isEqualTo(unknown);
	}

	@Test
	void doesNotApplyToWorkThatProvablyDidNotRun() {
		assertThat(this.rule.decide(RetryContexts.after(AttemptEnd.REVOKED, false))).isSameAs(NextStep.NOT_APPLICABLE);
	}

	@Test
	void doesNotApplyToRepeatableWork() {
		assertThat(this.rule.decide(RetryContexts.after(AttemptEnd.LOST_FOR_GOOD, true)))
			.isSameAs(NextStep.NOT_APPLICABLE);
	}

}
