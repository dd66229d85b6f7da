package org.snowwind.gateway.peer;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link CallSchedule}.
 */
class CallRotaTests {

	private final CallSchedule schedule = new CallSchedule("own:1");

	private static List<String> peers(int count) {
		return IntStream.range(0, count).mapToObj(Integer::toString).toList();
	}

	@Test
	void eachPeerIsCalledOncePerPeriod() {
		Map<String, Integer> calls = new HashMap<>();
		for (long nowMillis = 0; nowMillis <= 3100; nowMillis += 10) {
			this.schedule.due(peers(31), nowMillis, 310).forEach((peer) -> calls.merge(peer, 1, Integer::sum));
		}
		assertThat(calls).hasSize(31);
		assertThat(calls.values()).allSatisfy((count) -> assertThat(count).isBetween(10, 11));
	}

	@Test
	void callsToPeersDiscoveredTogetherSpreadOverPeriod() {
		for (long nowMillis = 0; nowMillis <= 5700; nowMillis += 50) {
			this.schedule.due(peers(369), nowMillis, 3690);
		}
		for (long nowMillis = 5750; nowMillis <= 9400; nowMillis += 50) {
			assertThat(this.schedule.due(peers(369), nowMillis, 3690)).hasSizeLessThan(20);
		}
	}

	@Test
	void callsMissedDuringStallAreNotRepeated() {
		this.schedule.due(peers(7), 0, 100);
		assertThat(this.schedule.due(peers(7), 60_000, 100)).hasSize(7);
		assertThat(this.schedule.due(peers(7), 60_050, 100)).isEmpty();
	}

	@Test
	void removedPeerDoesNotDelayCallsToOthers() {
		List<String> all = peers(3);
		this.schedule.due(all, 0, 100);
		assertThat(this.schedule.due(all, 150, 100)).hasSize(3);
		assertThat(this.schedule.due(all.subList(1, 3), 250, 100)).containsExactlyInAnyOrder("1", "2");
	}

	@Test
	void unsentCallIsRetriedImmediately() {
		this.schedule.due(peers(2), 0, 1000);
		this.schedule.retryNow("1", 10);
		assertThat(this.schedule.due(peers(2), 60, 1000)).containsExactly("1");
	}

}
