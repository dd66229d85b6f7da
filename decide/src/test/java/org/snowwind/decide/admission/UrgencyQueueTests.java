package org.snowwind.decide.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link UrgencyQueue}.
 */
class UrgencyQueueTests {

	private final UrgencyQueue<String, String> queue = new UrgencyQueue<>(2);

	private UrgencyQueue.Entry<String, String> add(String work, int priority, String organisation, long dueMillis) {
		return this.queue.add(work, "lane", priority, organisation, dueMillis);
	}

	private List<String> scanned() {
		List<String> order = new ArrayList<>();
		UrgencyQueue<String, String>.Scan scan = this.queue.scan();
		for (Optional<UrgencyQueue.Entry<String, String>> next = scan.next(); next.isPresent(); next = scan.next()) {
			order.add(next.get().work());
		}
		return order;
	}

	@Test
	void lessUrgentWorkIsNotBeforeMoreUrgentWork() {
		add("digest", 2, "a", 0);
		add("middle", 1, "a", 5000);
		add("urgent", 0, "a", 9000);
		assertThat(scanned()).containsExactly("urgent", "middle", "digest");
	}

	@Test
	void workThatCanWaitForLongerIsNotBeforeWorkThatCannot() {
		add("patient", 1, "a", 1000);
		add("hurried", 1, "a", 400);
		assertThat(scanned()).containsExactly("hurried", "patient");
	}

	@Test
	void organisationWithMuchWorkDoesNotKeepAnotherFromItsTurn() {
		add("a1", 1, "a", 400);
		add("a2", 1, "a", 401);
		add("a3", 1, "a", 402);
		add("b1", 1, "b", 403);
		add("unknown", 1, null, 404);
		assertThat(scanned()).containsExactly("a1", "b1", "unknown", "a2", "a3");
	}

	@Test
	void removedWorkIsNotFoundAndNotCounted() {
		UrgencyQueue.Entry<String, String> removed = add("x", 1, "a", 400);
		add("y", 3, "a", 800);
		assertThat(this.queue.sizeUpTo(1)).isEqualTo(1);
		assertThat(this.queue.remove(removed)).isTrue();
		assertThat(this.queue.remove(removed)).isFalse();
		assertThat(scanned()).containsExactly("y");
		assertThat(this.queue.sizeUpTo(1)).isZero();
		assertThat(this.queue.firstDue().orElseThrow().work()).isEqualTo("y");
		assertThat(this.queue.last().orElseThrow().work()).isEqualTo("y");
	}

	@Test
	void fullLaneDoesNotKeepOtherLanesFromWork() {
		this.queue.add("a", "full", 0, "o", 0);
		this.queue.add("b", "full", 0, "o", 0);
		this.queue.add("c", "free", 1, "o", 0);
		UrgencyQueue<String, String>.Scan scan = this.queue.scan();
		scan.leaveLane(scan.next().orElseThrow());
		assertThat(scan.next().orElseThrow().work()).isEqualTo("c");
		assertThat(scan.next()).isEmpty();
	}

	@Test
	void scanPassesOverABoundedAmountOfWork() {
		for (int i = 0; i < 1000; i++) {
			add("w" + i, 0, "o", i);
		}
		UrgencyQueue<String, String>.Scan scan = this.queue.scan();
		int steps = 0;
		for (Optional<UrgencyQueue.Entry<String, String>> next = scan.next(); next.isPresent(); next = scan.next()) {
			scan.skip(next.get());
			steps++;
		}
		assertThat(steps).isEqualTo(2);
	}

	@Test
	void scanGoesOnWhileWorkIsRemovedAndAdded() {
		add("a", 0, "o", 0);
		add("b", 0, "o", 100);
		UrgencyQueue<String, String>.Scan scan = this.queue.scan();
		this.queue.remove(scan.next().orElseThrow());
		add("c", 0, "o", 200);
		this.queue.remove(scan.next().orElseThrow());
		this.queue.remove(scan.next().orElseThrow());
		assertThat(scan.next()).isEmpty();
		assertThat(this.queue.size()).isZero();
	}

}
