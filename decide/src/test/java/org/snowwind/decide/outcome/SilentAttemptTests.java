package org.snowwind.decide.outcome;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class SilentAttemptTests {

	private static boolean mayGiveUp(RetryContext afterBreak) {
		return SilentAttempt.mayGiveUp(afterBreak, true);
	}

	private static RetryContext limited(boolean retryBudgetLeft, boolean serverLeft) {
		return new RetryContext(AttemptEnd.BEGAN_THEN_BROKE, true, true, 100, 1, 3, 1000, retryBudgetLeft, serverLeft,
				false, null);
	}

	@Test
	void repeatableAttemptIsReplacedByAnotherServer() {
		assertThat(mayGiveUp(RetryContexts.after(AttemptEnd.SENT_THEN_LOST, true))).isTrue();
		assertThat(mayGiveUp(RetryContexts.after(AttemptEnd.BEGAN_THEN_BROKE, true))).isTrue();
	}

	@Test
	void resumableAnswerIsReplacedByAnotherServer() {
		assertThat(mayGiveUp(RetryContexts.delivered(AttemptEnd.BEGAN_THEN_BROKE, true, true))).isTrue();
	}

	@Test
	void attemptIsNotGivenUpIfNoOtherHealthyServerIsChosen() {
		assertThat(SilentAttempt.mayGiveUp(RetryContexts.after(AttemptEnd.BEGAN_THEN_BROKE, true), false)).isFalse();
	}

	@Test
	void attemptThatMustNotBeRepeatedIsNotGivenUp() {
		assertThat(mayGiveUp(RetryContexts.after(AttemptEnd.SENT_THEN_LOST, false))).isFalse();
		assertThat(mayGiveUp(RetryContexts.after(AttemptEnd.BEGAN_THEN_BROKE, false))).isFalse();
	}

	@Test
	void answerThatCannotBeResumedIsNotGivenUp() {
		assertThat(mayGiveUp(RetryContexts.delivered(AttemptEnd.BEGAN_THEN_BROKE, true, false))).isFalse();
	}

	@Test
	void lastAttemptIsNotGivenUp() {
		assertThat(mayGiveUp(RetryContexts.spent(AttemptEnd.SENT_THEN_LOST, true, 1000, null))).isFalse();
		assertThat(mayGiveUp(RetryContexts.spent(AttemptEnd.BEGAN_THEN_BROKE, true, 1000, null))).isFalse();
	}

	@Test
	void attemptIsNotGivenUpIfTheRetryBudgetIsSpent() {
		assertThat(mayGiveUp(limited(true, true))).isTrue();
		assertThat(mayGiveUp(limited(false, true))).isFalse();
	}

	@Test
	void answerThatIsWholeEndsThoughItsServerIsSilent() {
		assertThat(SilentAttempt.mayGiveUp(RetryContexts.delivered(AttemptEnd.ANSWERED, false, false), false)).isTrue();
	}

	@Test
	void attemptIsNotGivenUpIfNoServerIsLeft() {
		assertThat(mayGiveUp(limited(true, false))).isFalse();
	}

}
