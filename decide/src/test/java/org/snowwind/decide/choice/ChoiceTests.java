package org.snowwind.decide.choice;

import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.snowwind.decide.choice.CircuitBreaker.BreakerSettings;

import static org.assertj.core.api.Assertions.assertThat;

class ChoiceTests {

	private static ServerView server(String name, int inFlight) {
		return new ServerView(name, true, inFlight, 0, 10, 1);
	}

	private static ServerView remote(String name, int inFlight) {
		return new ServerView(name, false, inFlight, 0, 10, 1);
	}

	@Test
	void twoChoicesAvoidsTheLoadedServer() {
		ServerChooser chooser = new TwoChoices(new Random(1));
		List<ServerView> servers = List.of(server("full", 9), server("idle", 0));
		long full = IntStream.range(0, 1000)
			.filter((i) -> "full".equals(chooser.choose(servers, 0).orElseThrow().name()))
			.count();
		assertThat(full).isBetween(200L, 300L);
	}

	@Test
	void roundRobinChoosesEachServerInTurn() {
		ServerChooser chooser = new RoundRobin();
		List<ServerView> servers = List.of(server("a", 9), server("b", 0));
		assertThat(chooser.choose(servers, 0)).isNotEqualTo(chooser.choose(servers, 0));
		assertThat(chooser.choose(List.of(), 0)).isEmpty();
	}

	@Test
	void affinityChoosesTheSameServerUnlessItsLoadIsTooHigh() {
		ServerChooser chooser = new PrefixAffinity(1.5, new TwoChoices(new Random(1)));
		List<ServerView> servers = List.of(server("a", 1), server("b", 1), server("c", 1));
		String preferred = chooser.choose(servers, 42).orElseThrow().name();
		assertThat(chooser.choose(servers, 42).orElseThrow().name()).isEqualTo(preferred);
		List<ServerView> loaded = servers.stream()
			.map((view) -> view.name().equals(preferred) ? server(preferred, 20) : view)
			.toList();
		assertThat(chooser.choose(loaded, 42).orElseThrow().name()).isNotEqualTo(preferred);
	}

	@Test
	void allServersAreKeptWhenMostSeemDown() {
		List<ServerView> servers = List.of(server("a", 0), server("b", 0), server("c", 0));
		assertThat(CandidateFilter.healthyUnlessPanic(servers, (view) -> !"a".equals(view.name()), 0.4)).hasSize(2);
		assertThat(CandidateFilter.healthyUnlessPanic(servers, (view) -> "a".equals(view.name()), 0.4)).hasSize(3);
	}

	@Test
	void workStaysLocalUntilLocalServersAreFull() {
		List<ServerView> withCapacity = List.of(server("near", 1), remote("far", 0));
		assertThat(CandidateFilter.localUnlessFull(withCapacity, 1)).extracting(ServerView::name)
			.containsExactly("near");
		List<ServerView> full = List.of(server("near", 30), remote("far", 0));
		assertThat(CandidateFilter.localUnlessFull(full, 1)).extracting(ServerView::name).containsExactly("far");
		List<ServerView> allFull = List.of(server("near", 30), remote("far", 30));
		assertThat(CandidateFilter.localUnlessFull(allFull, 1)).extracting(ServerView::name).containsExactly("near");
	}

	@Test
	void breakerOpensProbesAndStartsSlowly() {
		CircuitBreaker breaker = new CircuitBreaker(new BreakerSettings(2, 100, 1000, 0.1));
		breaker.recordFailure(0);
		assertThat(breaker.allows(0)).isTrue();
		breaker.recordFailure(0);
		assertThat(breaker.allows(50)).isFalse();
		assertThat(breaker.allows(100)).isTrue();
		breaker.recordSent();
		assertThat(breaker.allows(5000)).isFalse();
		breaker.recordSuccess(150);
		assertThat(breaker.allows(150)).isTrue();
		assertThat(breaker.slowStartFactor(150)).isEqualTo(0.1);
		assertThat(breaker.slowStartFactor(650)).isEqualTo(0.5);
		assertThat(breaker.slowStartFactor(5000)).isEqualTo(1);
	}

	@Test
	void eachFailedProbeDoublesTheOpenTime() {
		CircuitBreaker breaker = new CircuitBreaker(new BreakerSettings(1, 100, 1000, 0.1));
		breaker.recordFailure(0);
		breaker.recordSent();
		breaker.recordFailure(100);
		assertThat(breaker.allows(299)).isFalse();
		assertThat(breaker.allows(300)).isTrue();
	}

	@Test
	void withdrawnProbeAllowsAnotherProbe() {
		CircuitBreaker breaker = new CircuitBreaker(new BreakerSettings(1, 100, 1000, 0.1));
		breaker.recordFailure(0);
		breaker.recordSent();
		breaker.recordWithdrawn();
		assertThat(breaker.allows(100)).isTrue();
	}

	@Test
	void rendezvousMovesOnlyKeysOfTheRemovedItem() {
		List<String> three = List.of("a", "b", "c");
		List<String> two = List.of("a", "b");
		for (int key = 0; key < 100; key++) {
			String before = RendezvousHashing.highestRanked(three, (name) -> name, "key" + key, 1).get(0);
			String after = RendezvousHashing.highestRanked(two, (name) -> name, "key" + key, 1).get(0);
			if (!"c".equals(before)) {
				assertThat(after).isEqualTo(before);
			}
		}
	}

}
