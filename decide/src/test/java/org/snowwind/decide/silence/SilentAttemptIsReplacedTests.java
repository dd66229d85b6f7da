package org.snowwind.decide.silence;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class SilentAttemptIsReplacedTests {

	private final SilenceRule rule = new SilentAttemptIsReplaced();

	@Test
	void replaceableAttemptIsReplaced() {
		assertThat(this.rule.decide(SilentRequests.REPLACEABLE)).isSameAs(SilenceStep.REPLACE);
	}

}
