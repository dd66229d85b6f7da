package org.snowwind.decide.outcome;

import org.junit.jupiter.api.Test;
import org.snowwind.model.outcome.Disclosure;
import org.snowwind.model.outcome.ProblemKind;

import static org.assertj.core.api.Assertions.assertThat;

class SpentBudgetEndsTheRequestTests {

	private final NextStepRule rule = new SpentBudgetEndsTheRequest();

	@Test
	void rejectedRequestReportsTheReason() {
		assertThat(this.rule.decide(RetryContexts.spent(AttemptEnd.REFUSED, true, 500, ProblemKind.OVERLOADED)))
			.isEqualTo(NextStep.finish(Disclosure.NOT_RUN, ProblemKind.OVERLOADED));
	}

	@Test
	void revokedRequestIsReportedAsNotRunAtTheDeadline() {
		assertThat(this.rule.decide(RetryContexts.spent(AttemptEnd.REVOKED, false, 0, null)))
			.isEqualTo(NextStep.finish(Disclosure.NOT_RUN, ProblemKind.DEADLINE_NOT_RUN));
	}

	@Test
	void begunWorkIsNeverReportedAsNotRun() {
		assertThat(this.rule.decide(RetryContexts.spent(AttemptEnd.BEGAN_THEN_BROKE, true, 0, null)))
			.isEqualTo(NextStep.finish(Disclosure.UNKNOWN, ProblemKind.DEADLINE));
	}

	@Test
	void rejectionDoesNotHideThatAnEarlierAttemptMayHaveRun() {
		RetryContext ranBefore = new RetryContext(AttemptEnd.REFUSED, true, true, 0, 3, 3, 500, true, true, true,
				ProblemKind.OVERLOADED);
		assertThat(this.rule.decide(ranBefore))
			.isEqualTo(NextStep.finish(Disclosure.UNKNOWN, ProblemKind.BACKEND_FAILED));
	}

	@Test
	void doesNotApplyWhileAnotherAttemptIsAffordable() {
		assertThat(this.rule.decide(RetryContexts.after(AttemptEnd.REFUSED, false))).isSameAs(NextStep.NOT_APPLICABLE);
	}

}
