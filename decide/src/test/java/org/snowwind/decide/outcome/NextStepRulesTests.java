package org.snowwind.decide.outcome;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.snowwind.model.outcome.Disclosure;

import static org.assertj.core.api.Assertions.assertThat;

class NextStepRulesTests {

	@Property(seed = "20261202")
	void workThatMayHaveBegunIsNotRetriedUnlessRepeatable(@ForAll AttemptEnd end, @ForAll boolean resumable,
			@ForAll @LongRange(min = 0, max = 2) long bytes, @ForAll @IntRange(min = 1, max = 4) int attempts,
			@ForAll @LongRange(min = -1, max = 1) long remaining, @ForAll boolean budget, @ForAll boolean server) {
		RetryContext context = new RetryContext(end, false, resumable, bytes, attempts, 3, remaining, budget, server,
				false, null);
		NextStep step = NextStepRules.decide(context);
		if (!end.provesNotRun()) {
			assertThat(step).isNotSameAs(NextStep.SEND).isNotSameAs(NextStep.RESUME);
		}
	}

	@Property(seed = "20261202")
	void notRunIsReportedOnlyWithProof(@ForAll AttemptEnd end, @ForAll boolean repeatable, @ForAll boolean resumable,
			@ForAll @LongRange(min = 0, max = 2) long bytes, @ForAll @IntRange(min = 1, max = 4) int attempts,
			@ForAll @LongRange(min = -1, max = 1) long remaining, @ForAll boolean budget, @ForAll boolean server) {
		RetryContext context = new RetryContext(end, repeatable, resumable, bytes, attempts, 3, remaining, budget,
				server, false, null);
		NextStep step = NextStepRules.decide(context);
		if (step instanceof NextStep.Finish finish && finish.disclosure() == Disclosure.NOT_RUN) {
			assertThat(end.provesNotRun()).isTrue();
		}
	}

	@Property(seed = "20261202")
	void partlyDeliveredAnswerIsNeverRestarted(@ForAll AttemptEnd end, @ForAll boolean repeatable,
			@ForAll boolean resumable, @ForAll @IntRange(min = 1, max = 4) int attempts,
			@ForAll @LongRange(min = -1, max = 1) long remaining, @ForAll boolean budget, @ForAll boolean server) {
		RetryContext context = new RetryContext(end, repeatable, resumable, 1, attempts, 3, remaining, budget, server,
				false, null);
		assertThat(NextStepRules.decide(context)).isNotSameAs(NextStep.SEND);
	}

	@Property(seed = "20261202")
	void nothingIsSentWithoutTimeLeft(@ForAll AttemptEnd end, @ForAll boolean repeatable, @ForAll boolean resumable,
			@ForAll @LongRange(min = 0, max = 2) long bytes) {
		RetryContext context = new RetryContext(end, repeatable, resumable, bytes, 1, 3, 0, true, true, false, null);
		assertThat(NextStepRules.decide(context)).isNotSameAs(NextStep.SEND).isNotSameAs(NextStep.RESUME);
	}

}
