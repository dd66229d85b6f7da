package org.snowwind.decide.silence;

import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalStateException;

class SilenceRulesTests {

	@Test
	void replaceableAttemptIsReplaced() {
		assertThat(SilenceRules.decide(SilentRequests.REPLACEABLE))
			.isEqualTo(new SilenceDecision(SilenceStep.REPLACE, "SilentAttemptIsReplaced"));
	}

	@Test
	void decisionNamesTheFirstRuleThatApplies() {
		SilentRequest spentAndUnrepeatable = new SilentRequest(true, false, false, 100, 2, 2, 0, false, false);
		assertThat(SilenceRules.decide(spentAndUnrepeatable))
			.isEqualTo(new SilenceDecision(SilenceStep.AWAIT, "UnrepeatableWorkIsAwaited"));
	}

	@Test
	void listWithoutARuleThatAppliesIsAFault() {
		assertThatIllegalStateException().isThrownBy(() -> SilenceRules.decide(List.of(), SilentRequests.REPLACEABLE));
	}

	@Property
	void workThatMayRunOnceIsNeverReplaced(@ForAll boolean heard, @ForAll boolean resumable, @ForAll long bytes,
			@ForAll int used, @ForAll int max, @ForAll long remainingMillis) {
		SilentRequest request = new SilentRequest(heard, false, resumable, bytes, used, max, remainingMillis, true,
				true);
		assertThat(SilenceRules.decide(request).replaces()).isFalse();
	}

}
