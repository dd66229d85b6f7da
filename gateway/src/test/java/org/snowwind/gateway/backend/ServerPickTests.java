package org.snowwind.gateway.backend;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.junit.jupiter.api.Test;
import org.snowwind.gateway.registry.BackendEntry;
import org.snowwind.gateway.registry.BackendIncarnation;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link LeastUtilizedPick} and {@link WeightedRandomPick}.
 */
class ServerPickTests {

	private static final int PICKS = 5000;

	private final Random random = new Random(7);

	private static Candidate candidate(String id, double fullness, double roomShare) {
		return candidate(id, fullness, roomShare, true);
	}

	private static Candidate candidate(String id, double fullness, double roomShare, boolean near) {
		return new Candidate(
				new Backend(new BackendEntry(id, BackendIncarnation.UNKNOWN, "s", "10.0.0.1", 80, "dc", 8, false),
						new BackendNotices(BackendIncarnation.of(id))),
				fullness, roomShare, near);
	}

	private Map<String, Integer> countPicks(ServerPick pick, List<Candidate> candidates) {
		Map<String, Integer> counts = new HashMap<>();
		for (int i = 0; i < PICKS; i++) {
			counts.merge(pick.pick(candidates, this.random).orElseThrow().id(), 1, Integer::sum);
		}
		return counts;
	}

	@Test
	void nothingIsPickedWithoutCandidates() {
		assertThat(ServerPick.leastUtilized().pick(List.of(), this.random)).isEmpty();
		assertThat(ServerPick.weightedRandom().pick(List.of(), this.random)).isEmpty();
	}

	@Test
	void leastUtilizedServerIsAlwaysPicked() {
		Map<String, Integer> counts = countPicks(ServerPick.leastUtilized(),
				List.of(candidate("a", 0.5, 0.5), candidate("b", 0.25, 0.75), candidate("c", 0.75, 0.25)));
		assertThat(counts).containsOnlyKeys("b");
	}

	@Test
	void equallyUtilizedServersArePickedEquallyOften() {
		Map<String, Integer> counts = countPicks(ServerPick.leastUtilized(),
				List.of(candidate("a", 0.5, 0.5), candidate("b", 0.5, 0.5)));
		assertThat(counts.get("a")).isBetween(PICKS * 45 / 100, PICKS * 55 / 100);
	}

	@Test
	void serverWithTwiceTheRoomIsPickedFourTimesAsOften() {
		Map<String, Integer> counts = countPicks(ServerPick.weightedRandom(),
				List.of(candidate("a", 0.6, 0.4), candidate("b", 0.2, 0.8)));
		assertThat(counts.get("b")).isBetween(PICKS * 76 / 100, PICKS * 84 / 100);
	}

	@Test
	void localServerIsPickedMoreOftenThanEquallyUtilizedRemoteOne() {
		Map<String, Integer> counts = countPicks(ServerPick.weightedRandom(),
				List.of(candidate("a", 0.5, 0.5, true), candidate("b", 0.5, 0.5, false)));
		assertThat(counts.get("a")).isBetween(PICKS * 76 / 100, PICKS * 84 / 100);
	}

	@Test
	void localServerIsPickedWhileItIsHardlyMoreUtilized() {
		Map<String, Integer> counts = countPicks(ServerPick.leastUtilized(),
				List.of(candidate("a", 0.5, 0.5, true), candidate("b", 0.4, 0.6, false)));
		assertThat(counts).containsOnlyKeys("a");
	}

	@Test
	void remoteServerIsPickedIfItIsMuchLessUtilized() {
		Map<String, Integer> counts = countPicks(ServerPick.leastUtilized(),
				List.of(candidate("a", 0.5, 0.5, true), candidate("b", 0.25, 0.75, false)));
		assertThat(counts).containsOnlyKeys("b");
	}

}
