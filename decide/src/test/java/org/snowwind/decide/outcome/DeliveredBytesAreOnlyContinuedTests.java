package org.snowwind.decide.outcome;

import org.junit.jupiter.api.Test;
import org.snowwind.model.outcome.Disclosure;
import org.snowwind.model.outcome.ProblemKind;

import static org.assertj.core.api.Assertions.assertThat;

class DeliveredBytesAreOnlyContinuedTests {

	private final NextStepRule rule = new DeliveredBytesAreOnlyContinued();

	@Test
	void repeatableStreamIsResumed() {
		assertThat(this.rule.decide(RetryContexts.delivered(AttemptEnd.BEGAN_THEN_BROKE, true, true)))
			.isSameAs(NextStep.RESUME);
	}

	@Test
	void streamThatCannotBeResumedEndsTheRequest() {
		NextStep failed = NextStep.finish(Disclosure.FAILED, ProblemKind.BACKEND_FAILED);
		assertThat(this.rule.decide(RetryContexts.delivered(AttemptEnd.BEGAN_THEN_BROKE, true, false)))
			.isEqualTo(failed);
		assertThat(this.rule.decide(RetryContexts.delivered(AttemptEnd.BEGAN_THEN_BROKE, false, true)))
			.isEqualTo(failed);
	}

	@Test
	void streamThatFailsAtTheDeadlineReportsTheDeadline() {
		RetryContext late = new RetryContext(AttemptEnd.BEGAN_THEN_BROKE, true, true, 100, 1, 3, 0, true, true, false,
				null);
		assertThat(this.rule.decide(late)).isEqualTo(NextStep.finish(Disclosure.FAILED, ProblemKind.DEADLINE));
	}

	@Test
	void doesNotApplyBeforeBytesAreDelivered() {
		assertThat(this.rule.decide(RetryContexts.after(AttemptEnd.BEGAN_THEN_BROKE, true)))
			.isSameAs(NextStep.NOT_APPLICABLE);
	}

}
