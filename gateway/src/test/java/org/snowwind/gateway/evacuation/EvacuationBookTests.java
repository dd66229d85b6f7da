package org.snowwind.gateway.evacuation;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.snowwind.model.EraRevision;
import org.snowwind.wire.generated.EvacuationNews;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Tests for {@link EvacuationBook}.
 */
class EvacuationBookTests {

	private final List<Set<String>> told = new ArrayList<>();

	private final EvacuationBook book = new EvacuationBook(this.told::add);

	private static EraRevision at(long number) {
		return new EraRevision(0, number);
	}

	private static Evacuation began(String dataCentre, long number) {
		return new Evacuation(dataCentre, at(number), false);
	}

	private static Evacuation ended(String dataCentre, long number) {
		return new Evacuation(dataCentre, at(number), true);
	}

	@Test
	void evacuationIsInForceUntilTheStoreLacksIt() {
		this.book.applyListing(at(5), Map.of("a", at(4)));
		this.book.applyChanges(at(7), List.of(began("b", 7)));
		assertThat(this.book.inForce()).containsExactlyInAnyOrder("a", "b");
		this.book.applyListing(at(9), Map.of("b", at(7)));
		assertThat(this.book.inForce()).containsExactly("b");
		this.book.applyChanges(at(11), List.of(ended("b", 11)));
		assertThat(this.book.inForce()).isEmpty();
		assertThat(this.told).containsExactly(Set.of("a"), Set.of("a", "b"), Set.of("b"), Set.of());
	}

	@Test
	void olderListingChangesNothing() {
		this.book.applyChanges(at(7), List.of(began("a", 7)));
		this.book.applyListing(at(6), Map.of());
		assertThat(this.book.inForce()).containsExactly("a");
	}

	@Test
	void evacuationThatARestoredStoreHasLostStaysInForceUntilItIsWrittenAgainAndRemoved() {
		this.book.applyListing(at(50), Map.of("a", at(40)));
		this.book.applyListing(new EraRevision(1, 30), Map.of());
		assertThat(this.book.inForce()).containsExactly("a");
		this.book.applyChanges(new EraRevision(1, 31), List.of(new Evacuation("a", new EraRevision(1, 31), false)));
		this.book.applyChanges(new EraRevision(1, 33), List.of(new Evacuation("a", new EraRevision(1, 33), true)));
		assertThat(this.book.inForce()).isEmpty();
	}

	@Test
	void newsOfAPeerIsInForceAtOnceAndTheStoreNeedNotAnswer() {
		this.book.applyNews(List.of(began("a", 4)), "peer");
		assertThat(this.book.inForce()).containsExactly("a");
		this.book.applyNews(List.of(ended("a", 6)), "peer");
		assertThat(this.book.inForce()).isEmpty();
	}

	@Test
	void peerThatSleptDoesNotBringBackAnEndedEvacuation() {
		this.book.applyListing(at(9), Map.of("a", at(4)));
		this.book.applyChanges(at(12), List.of(ended("a", 12)));
		this.book.applyNews(List.of(began("a", 4)), "peer");
		assertThat(this.book.inForce()).isEmpty();
	}

	@Test
	void peerThatSleptDoesNotBringBackAnEvacuationThatEndedBeforeThisProcessStarted() {
		this.book.applyListing(at(20), Map.of());
		this.book.applyNews(List.of(began("a", 4)), "peer");
		assertThat(this.book.inForce()).isEmpty();
		this.book.applyNews(List.of(began("a", 21)), "peer");
		assertThat(this.book.inForce()).containsExactly("a");
	}

	@Test
	void evacuationOfAnEarlierEraReachesAProcessThatStartedAfterTheRestore() {
		this.book.applyListing(new EraRevision(1, 30), Map.of());
		this.book.applyNews(List.of(began("a", 40)), "peer");
		assertThat(this.book.inForce()).containsExactly("a");
	}

	@Test
	void newsInAnyOrderAndOftenGiveTheSameState() {
		List<Evacuation> news = List.of(began("a", 3), ended("a", 5), began("a", 8), began("b", 4), ended("b", 9),
				began("c", 6));
		for (int seed = 0; seed < 50; seed++) {
			List<Evacuation> shuffled = new ArrayList<>(news);
			shuffled.addAll(news);
			Collections.shuffle(shuffled, new Random(seed));
			EvacuationBook other = new EvacuationBook((inForce) -> {
			});
			shuffled.forEach((evacuation) -> other.applyNews(List.of(evacuation), "peer"));
			assertThat(other.inForce()).as("seed " + seed).containsExactlyInAnyOrder("a", "c");
		}
	}

	@Test
	void endedEvacuationsAreDroppedFirstWhenThereAreTooMany() {
		this.book.applyChanges(at(1), List.of(began("kept", 1)));
		for (int i = 0; i < 2 * EvacuationBook.MAX_ENTRIES; i++) {
			this.book.applyChanges(at(10 + i), List.of(ended("dc" + i, 10 + i)));
		}
		assertThat(this.book.news()).hasSize(EvacuationBook.MAX_ENTRIES);
		assertThat(this.book.inForce()).containsExactly("kept");
	}

	@Test
	void listenerThatFailedIsToldAgain() {
		List<Set<String>> heard = new ArrayList<>();
		EvacuationBook other = new EvacuationBook((inForce) -> {
			heard.add(inForce);
			if (heard.size() == 1) {
				throw new IllegalStateException("ring full");
			}
		});
		assertThatThrownBy(() -> other.applyListing(at(5), Map.of("a", at(4))))
			.isInstanceOf(IllegalStateException.class);
		other.applyListing(at(6), Map.of("a", at(4)));
		assertThat(heard).containsExactly(Set.of("a"), Set.of("a"));
	}

	@Test
	void messagesWithoutPositionOrNameAreIgnored() {
		List<EvacuationNews> messages = List.of(new EvacuationNews("a", 0, false), new EvacuationNews("b", -7, false),
				new EvacuationNews("", 3, false), new EvacuationNews("x".repeat(121), 3, false),
				new EvacuationNews("c", 3, true));
		assertThat(EvacuationMessages.fromMessages(messages)).containsExactly(ended("c", 3));
	}

}
