package org.snowwind.gateway.suspect;

import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import java.util.stream.Stream;

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

	private static PartView blamed(int rounds) {
		return PartView.of(new PartEvidence(IntStream.rangeClosed(1, rounds)
			.mapToObj((round) -> new PartEnd("chat/bad", "org", "s" + round, round, 1))
			.toList(), Map.of()), List.of());
	}

	@Test
	void blamedPartIsTriedOnceAfterAPause() {
		PartView view = blamed(3);
		assertThat(view.isBlamed("chat/bad")).isTrue();
		assertThat(this.trials.allowsTrial("chat/bad", PARTS, view)).isFalse();
		this.clock.advance(PartTrials.BLAMED_PAUSE_MILLIS);
		assertThat(this.trials.allowsTrial("chat/bad", PARTS, view)).isTrue();
		assertThat(acquire(view)).isTrue();
		assertThat(this.trials.allowsTrial("chat/bad", PARTS, view)).as("a second request in the same turn").isFalse();
	}

	@Test
	void blamedPartIsNotTriedAgainAfterATrialEndedAServer() {
		assertThat(this.trials.allowsTrial("chat/bad", PARTS, blamed(4))).isFalse();
		this.clock.advance(10 * PartTrials.BLAMED_PAUSE_MILLIS);
		assertThat(this.trials.allowsTrial("chat/bad", PARTS, blamed(4))).isFalse();
	}

	@Test
	void blamedPartIsNotTriedByARequestWithAnotherSuspectedPart() {
		PartView view = blamed(3);
		this.trials.allowsTrial("chat/bad", PARTS, view);
		this.clock.advance(PartTrials.BLAMED_PAUSE_MILLIS);
		PartView two = PartView.of(new PartEvidence(
				Stream.concat(view.standing().stream(), Stream.of(new PartEnd("chat/c0", "org", "s9", 1, 0))).toList(),
				Map.of()), List.of());
		assertThat(two.isBlamed("chat/bad")).isTrue();
		assertThat(this.trials.allowsTrial("chat/bad", PARTS, two)).isFalse();
	}

}
