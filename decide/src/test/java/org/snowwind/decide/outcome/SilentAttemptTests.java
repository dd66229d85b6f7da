package org.snowwind.decide.outcome;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class SilentAttemptTests {

	private static boolean isReplaceable(RetryContext afterBreak) {
		return SilentAttempt.isReplaceable(afterBreak, true);
	}

	private static RetryContext limited(boolean retryBudgetLeft, boolean serverLeft) {
		return new RetryContext(AttemptEnd.BEGAN_THEN_BROKE, true, true, 100, 1, 3, 1000, retryBudgetLeft, serverLeft,
				false, null);
	}

	@Test
	void repeatableAttemptIsReplacedByAnotherServer() {
		assertThat(isReplaceable(RetryContexts.after(AttemptEnd.SENT_THEN_LOST, true))).isTrue();
		assertThat(isReplaceable(RetryContexts.after(AttemptEnd.BEGAN_THEN_BROKE, true))).isTrue();
	}

	@Test
	void resumableAnswerIsReplacedByAnotherServer() {
		assertThat(isReplaceable(RetryContexts.delivered(AttemptEnd.BEGAN_THEN_BROKE, true, true))).isTrue();
	}

	@Test
	void attemptIsNotGivenUpIfNoOtherHealthyServerIsChosen() {
		assertThat(SilentAttempt.isReplaceable(RetryContexts.after(AttemptEnd.BEGAN_THEN_BROKE, true), false))
			.isFalse();
	}

	@Test
	void attemptThatMustNotBeRepeatedIsNotGivenUp() {
		assertThat(isReplaceable(RetryContexts.after(AttemptEnd.SENT_THEN_LOST, false))).isFalse();
		assertThat(isReplaceable(RetryContexts.after(AttemptEnd.BEGAN_THEN_BROKE, false))).isFalse();
	}

	@Test
	void answerThatCannotBeResumedIsNotGivenUp() {
		assertThat(isReplaceable(RetryContexts.delivered(AttemptEnd.BEGAN_THEN_BROKE, true, false))).isFalse();
	}

	@Test
	void lastAttemptIsNotGivenUp() {
		assertThat(isReplaceable(RetryContexts.spent(AttemptEnd.SENT_THEN_LOST, true, 1000, null))).isFalse();
		assertThat(isReplaceable(RetryContexts.spent(AttemptEnd.BEGAN_THEN_BROKE, true, 1000, null))).isFalse();
	}

	@Test
	void attemptIsNotGivenUpIfTheRetryBudgetIsSpent() {
		assertThat(isReplaceable(limited(true, true))).isTrue();
		assertThat(isReplaceable(limited(false, true))).isFalse();
	}

	@Test
	void answerThatIsWholeEndsThoughItsServerIsSilent() {
		assertThat(SilentAttempt.isReplaceable(RetryContexts.delivered(AttemptEnd.ANSWERED, false, false), false))
			.isTrue();
	}

	@Test
	void attemptIsNotGivenUpIfNoServerIsLeft() {
		assertThat(isReplaceable(limited(true, false))).isFalse();
	}

}
