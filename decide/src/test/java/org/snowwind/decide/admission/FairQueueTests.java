package org.snowwind.decide.admission;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class FairQueueTests {

	private static final double QUANTUM = 10;

	private static FairQueue<String> queue(int capacity) {
		return new FairQueue<>(QUANTUM, capacity, (organisation) -> 1);
	}

	@Test
	void aFullQueueRejectsOnlyWorkOfItsOwnOrganisation() {
		FairQueue<String> queue = queue(1);
		assertThat(queue.offer("a", "a1", 1, 100)).isTrue();
		assertThat(queue.offer("a", "a2", 1, 100)).isFalse();
		assertThat(queue.offer("b", "b1", 1, 100)).isTrue();
	}

	@Test
	void expiredWorkIsRemoved() {
		FairQueue<String> queue = queue(10);
		queue.offer("a", "old", 1, 5);
		queue.offer("a", "new", 1, 50);
		assertThat(queue.expire(5)).containsExactly("old");
		assertThat(queue.poll()).contains("new");
		assertThat(queue.poll()).isEmpty();
		assertThat(queue.size()).isZero();
	}

	@Test
	void workLargerThanAQuantumIsServed() {
		FairQueue<String> queue = queue(10);
		queue.offer("a", "large", QUANTUM * 7, 100);
		assertThat(queue.poll()).contains("large");
	}

	@Test
	void anOrganisationThatMayNotBeginIsSkipped() {
		FairQueue<String> queue = queue(10);
		queue.offer("a", "a1", 1, 100);
		queue.offer("b", "b1", 1, 100);
		assertThat(queue.poll("b"::equals)).contains("b1");
		assertThat(queue.poll("b"::equals)).isEmpty();
		assertThat(queue.poll()).contains("a1");
	}

	@Test
	void removedWorkIsNotServed() {
		FairQueue<String> queue = queue(10);
		queue.offer("a", "gone", 1, 100);
		assertThat(queue.remove("a", "gone")).isTrue();
		assertThat(queue.poll()).isEmpty();
	}

	@Property(seed = "20261202")
	void backloggedOrganisationsAreServedWithinOneQuantumAndOneRequest(
			@ForAll @Size(min = 20, max = 20) List<@IntRange(min = 1, max = 15) Integer> costsOfA,
			@ForAll @Size(min = 20, max = 20) List<@IntRange(min = 1, max = 15) Integer> costsOfB) {
		FairQueue<Integer> queue = new FairQueue<>(QUANTUM, 100, (organisation) -> 1);
		costsOfA.forEach((cost) -> queue.offer("a", cost, cost, 100));
		costsOfB.forEach((cost) -> queue.offer("b", -cost, cost, 100));
		Map<String, Integer> served = new HashMap<>(Map.of("a", 0, "b", 0));
		int waitingA = costsOfA.size();
		int waitingB = costsOfB.size();
		while (waitingA > 0 && waitingB > 0) {
			int work = queue.poll().orElseThrow();
			served.merge((work > 0) ? "a" : "b", Math.abs(work), Integer::sum);
			waitingA -= (work > 0) ? 1 : 0;
			waitingB -= (work > 0) ? 0 : 1;
			double ahead = Math.abs(served.get("a") - served.get("b"));
			assertThat(ahead).isLessThanOrEqualTo(QUANTUM + 2 * 15);
		}
	}

	@Property(seed = "20261202")
	void organisationsAreServedInProportionToTheirWeights(@ForAll @IntRange(min = 1, max = 5) int weight) {
		FairQueue<String> queue = new FairQueue<>(QUANTUM, 10_000, (name) -> "a".equals(name) ? weight : 1);
		for (int i = 0; i < 6000; i++) {
			queue.offer("a", "a", 1, 100);
			queue.offer("b", "b", 1, 100);
		}
		int servedOfA = 0;
		int rounds = 100 * (weight + 1) * (int) QUANTUM / 10;
		for (int i = 0; i < rounds; i++) {
			servedOfA += "a".equals(queue.poll().orElseThrow()) ? 1 : 0;
		}
		double share = (double) servedOfA / rounds;
		assertThat(share).isBetween(weight / (weight + 1.0) - 0.1, weight / (weight + 1.0) + 0.1);
	}

}
