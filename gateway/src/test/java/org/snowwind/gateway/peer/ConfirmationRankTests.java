package org.snowwind.gateway.peer;

import java.util.HashSet;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ConfirmationRank}.
 */
class ConfirmationRankTests {

	private static final int GATEWAYS = 32;

	private static Set<String> names() {
		return IntStream.range(0, GATEWAYS).mapToObj((i) -> "g" + i).collect(Collectors.toSet());
	}

	private static int rank(String name, String prefix) {
		Set<String> peers = names();
		peers.remove(name);
		return new ConfirmationRank(name, () -> peers).of(prefix);
	}

	@Test
	void gatewaysComputeDistinctRanksWithoutCoordination() {
		Set<Integer> ranks = new HashSet<>();
		names().forEach((name) -> ranks.add(rank(name, "config/")));
		assertThat(ranks).hasSize(GATEWAYS).contains(0, GATEWAYS - 1);
	}

	@Test
	void gatewayWithoutPeersRanksFirst() {
		assertThat(new ConfirmationRank("g1", Set::of).of("config/")).isZero();
	}

}
