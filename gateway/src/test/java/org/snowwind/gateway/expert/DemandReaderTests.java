package org.snowwind.gateway.expert;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Test;
import org.snowwind.gateway.registry.BackendIncarnation;
import org.snowwind.gateway.table.EngineProfile;
import org.snowwind.model.ManualClock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link DemandReader}.
 */
class DemandReaderTests {

	private static final EngineProfile ENGINE = new EngineProfile(7, 288_166, 7, 4.84, 0.435, 0.0132, 74_800, 1, 4, 5,
			2, 320, 180_000, 0.85);

	private static final int RANKS = 63;

	private final ManualClock clock = new ManualClock(10_000);

	private final FakeCounts counts = new FakeCounts();

	private final DemandBook demand = new DemandBook(1, 4, 1500);

	private final DemandReader reader = new DemandReader("g", ENGINE, this.counts, this.demand, () -> Long.MIN_VALUE,
			this.clock);

	private final List<Rank> ranks = IntStream.range(0, RANKS).mapToObj(DemandReaderTests::rank).toList();

	private static Rank rank(int place) {
		RankReport report = new RankReport("g", 1, place, RANKS, true, 0, 0, 0, 0, RankReport.NOT_HELD,
				BackendIncarnation.UNKNOWN);
		return new Rank(BackendIncarnation.of("r" + place), "127.0.0.1:1", report);
	}

	@Test
	void demandOfAGroupThatWasFormedIsKnownAfterTwoReads() {
		this.reader.formedAnew();
		this.reader.read(this.ranks);
		this.clock.advance(120);
		this.reader.read(this.ranks);
		assertThat(this.counts.asked).hasSize(2).allSatisfy((asked) -> assertThat(asked).hasSize(3));
		assertThat(this.demand.asOfMillis()).isEqualTo(this.clock.nowMillis());
		assertThat(this.demand.evidence()).as("the choices of three ranks").isEqualTo(3000);
	}

	@Test
	void ranksTakeTurnsOnceDemandIsKnown() {
		this.reader.formedAnew();
		this.reader.read(this.ranks);
		for (int i = 0; i < 3; i++) {
			this.clock.advance(200);
			this.reader.read(this.ranks);
		}
		assertThat(this.counts.asked.subList(2, 4)).allSatisfy((asked) -> assertThat(asked).hasSize(1));
	}

	/**
	 * Ranks each of which chooses 10 experts per millisecond.
	 */
	private final class FakeCounts implements CountsPort {

		private final List<List<Rank>> asked = new ArrayList<>();

		@Override
		public boolean isCallAllowed(Rank rank) {
			return true;
		}

		@Override
		public Rank firstUnrestricted(List<Rank> of) {
			return of.get(0);
		}

		@Override
		public List<Optional<RankCounts>> counts(List<Rank> of) {
			this.asked.add(of);
			List<Long> chosen = LongStream.of(4, 3, 2, 1)
				.map((share) -> share * DemandReaderTests.this.clock.nowMillis())
				.boxed()
				.toList();
			return of.stream()
				.map((rank) -> Optional.of(new RankCounts(1, chosen, BackendIncarnation.UNKNOWN)))
				.toList();
		}

	}

}
