package org.snowwind.gateway.expert;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import org.junit.jupiter.api.Test;
import org.snowwind.gateway.limit.ServerCalls;
import org.snowwind.gateway.registry.BackendEntry;
import org.snowwind.gateway.registry.BackendIncarnation;
import org.snowwind.model.ManualClock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link RankSample}.
 */
class RankSampleTests {

	private final RankSample sample = new RankSample();

	private final ManualClock clock = new ManualClock(1000);

	private Map<String, Double> limits = Map.of();

	private final Map<String, Long> backoffs = new HashMap<>();

	private final ServerCalls made = new ServerCalls(new SimpleMeterRegistry(),
			new ServerCalls.Restrictions(() -> this.limits, () -> this.backoffs), (run, notice, sentMillis) -> {
			}, this.clock);

	private static List<BackendEntry> ranks(int count) {
		return IntStream.range(0, count)
			.mapToObj((i) -> new BackendEntry("r" + i, BackendIncarnation.UNKNOWN, "s", "10.0.0.1", 80 + i, "dc", 4,
					false))
			.toList();
	}

	@Test
	void allRanksHaveTheirTurn() {
		Set<String> asked = new HashSet<>();
		for (int round = 0; round < 32; round++) {
			this.sample.of(ranks(96), this.made).forEach((rank) -> asked.add(rank.id()));
		}
		assertThat(asked).hasSize(96);
	}

	@Test
	void aSmallGroupIsAskedWhole() {
		assertThat(this.sample.of(ranks(2), this.made)).hasSize(2);
		assertThat(this.sample.of(List.of(), this.made)).isEmpty();
	}

	@Test
	void aGroupThatShrinksIsStillAsked() {
		this.sample.of(ranks(96), this.made);
		assertThat(this.sample.of(ranks(4), this.made)).hasSize(3);
	}

	@Test
	void ranksThatTakeALimitedRateAreSparedWhileOthersCanTell() {
		this.limits = Map.of("r0", 1.0, "r5", 0.5);
		for (int round = 0; round < 16; round++) {
			assertThat(this.sample.of(ranks(8), this.made)).hasSize(3)
				.noneMatch((rank) -> this.limits.containsKey(rank.id()));
		}
	}

	@Test
	void aGroupOfLimitedRanksIsAskedNoMoreThanTheyBear() {
		this.limits = Map.of("r0", 1.0, "r1", 1.0, "r2", 1.0);
		int asked = 0;
		for (int round = 0; round < 16; round++) {
			List<BackendEntry> chosen = this.sample.of(ranks(3), this.made);
			chosen.forEach((rank) -> this.made.acquire(rank.id()));
			asked += chosen.size();
		}
		assertThat(asked).isEqualTo(12);
		this.clock.advance(4000);
		assertThat(this.sample.of(ranks(3), this.made)).hasSize(3);
	}

	@Test
	void ranksThatBackOffAreNotAsked() {
		this.backoffs.put("r0", Long.MAX_VALUE);
		assertThat(this.made.allows("r0", 1)).isFalse();
		assertThat(this.made.isRestricted("r0")).isTrue();
		assertThat(this.made.allows("r1", 1)).isTrue();
	}

}
