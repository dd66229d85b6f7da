package org.snowwind.gateway.expert;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.snowwind.gateway.registry.BackendEntry;
import org.snowwind.gateway.registry.BackendRun;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link RankSample}.
 */
class RankSampleTests {

	private final RankSample sample = new RankSample();

	private static List<BackendEntry> ranks(int count) {
		return IntStream.range(0, count)
			.mapToObj((i) -> new BackendEntry("r" + i, BackendRun.UNKNOWN, "s", "10.0.0.1", 80 + i, "dc", 4, false))
			.toList();
	}

	@Test
	void allRanksHaveTheirTurn() {
		Set<String> asked = new HashSet<>();
		for (int round = 0; round < 32; round++) {
			this.sample.of(ranks(96)).forEach((rank) -> asked.add(rank.id()));
		}
		assertThat(asked).hasSize(96);
	}

	@Test
	void aSmallGroupIsAskedWhole() {
		assertThat(this.sample.of(ranks(2))).hasSize(2);
		assertThat(this.sample.of(List.of())).isEmpty();
	}

	@Test
	void aGroupThatShrinksIsStillAsked() {
		this.sample.of(ranks(96));
		assertThat(this.sample.of(ranks(4))).hasSize(3);
	}

}
