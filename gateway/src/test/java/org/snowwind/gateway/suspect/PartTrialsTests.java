package org.snowwind.gateway.suspect;

import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.snowwind.decide.blame.PartEnd;
import org.snowwind.model.ManualClock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link PartTrials}.
 */
class PartTrialsTests {

	private static final List<String> PARTS = List.of("chat/c0", "chat/bad");

	private final ManualClock clock = new ManualClock(1000);

	private boolean first = true;

	private final PartTrials trials = new PartTrials((text) -> this.first, this.clock);

	private static PartView view(int ends, Map<String, Integer> answeredRounds) {
		return PartView.of(new PartEvidence(
				IntStream.range(0, ends).mapToObj((i) -> new PartEnd("chat/bad", "org", "s" + i, 1, 1)).toList(),
				answeredRounds), List.of());
	}

	private boolean acquire(PartView view) {
		return this.trials.acquire("r1", PARTS, view);
	}

	@Test
	void partAtFewEndsIsNotLimited() {
		assertThat(IntStream.range(0, 5).allMatch((i) -> acquire(view(4, Map.of())))).isTrue();
	}

	@Test
	void answeredPartIsNotLimited() {
		assertThat(IntStream.range(0, 5).allMatch((i) -> acquire(view(20, Map.of("chat/bad", 0))))).isTrue();
	}

	@Test
	void partAtManyEndsIsSentOnceATurn() {
		PartView view = view(5, Map.of());
		assertThat(acquire(view)).isTrue();
		assertThat(acquire(view)).isFalse();
		this.clock.advance(PartTrials.TURN_MILLIS);
		assertThat(acquire(view)).isTrue();
	}

	@Test
	void onlyTheGatewayThatRanksFirstMaySend() {
		this.first = false;
		assertThat(acquire(view(5, Map.of()))).isFalse();
	}

	@Test
	void partIsNoLongerLimitedSomeTimeAfterItsLastEnd() {
		this.first = false;
		PartView view = view(5, Map.of());
		assertThat(acquire(view)).isFalse();
		this.clock.advance(PartTrials.HOLD_MILLIS + 1);
		assertThat(acquire(view)).isTrue();
	}

}
