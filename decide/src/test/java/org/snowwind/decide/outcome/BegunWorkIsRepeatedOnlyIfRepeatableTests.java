package org.snowwind.decide.outcome;

import org.junit.jupiter.api.Test;
import org.snowwind.model.outcome.Disclosure;
import org.snowwind.model.outcome.ProblemKind;

import static org.assertj.core.api.Assertions.assertThat;

class BegunWorkIsRepeatedOnlyIfRepeatableTests {

	private final NextStepRule rule = new BegunWorkIsRepeatedOnlyIfRepeatable();

	@Test
	void begunWorkEndsUnknown() {
		NextStep unknown = NextStep.finish(Disclosure.UNKNOWN, ProblemKind.BACKEND_FAILED);
		assertThat(this.rule.decide(Situations.after(AttemptEnd.BEGAN_THEN_BROKE, false))).isEqualTo(unknown);
		assertThat(this.rule.decide(Situations.after(AttemptEnd.LOST_FOR_GOOD, false))).isEqualTo(unknown);
	}

	@Test
	void provedNotRunIsNotItsBusiness() {
		assertThat(this.rule.decide(Situations.after(AttemptEnd.REVOKED, false))).isSameAs(NextStep.NO_OPINION);
	}

	@Test
	void repeatableIsNotItsBusiness() {
		assertThat(this.rule.decide(Situations.after(AttemptEnd.LOST_FOR_GOOD, true))).isSameAs(NextStep.NO_OPINION);
	}

}
