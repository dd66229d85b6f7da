package org.snowwind.store;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.Test;
import org.snowwind.model.EraRevision;
import org.snowwind.model.ManualClock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link StoreWatch}.
 */
class StoreWatchTests {

	private static final long BOUND_MILLIS = 2000;

	/** An answer that never comes. */
	private static final Object SILENCE = new Object();

	private final ManualClock clock = new ManualClock(0);

	private final ScriptedStore store = new ScriptedStore();

	private final List<String> told = new ArrayList<>();

	private boolean listenerFails;

	private final Freshness freshness = new Freshness(this.clock);

	private final StoreWatch watch = new StoreWatch(this.store, "kind/",
			new WatchPace(5000, 400, new ConfirmationSchedule(BOUND_MILLIS, () -> 0)), new Told(), this.freshness,
			this.clock, new Random(1));

	private void rounds(int count) {
		for (int i = 0; i < count; i++) {
			this.watch.round();
		}
	}

	private void roundsFor(long millis) {
		for (long passed = 0; passed < millis; passed += 50) {
			this.clock.advance(50);
			this.store.passTime();
			this.watch.round();
		}
	}

	@Test
	void aListingComesFirstAndThenChangesAfterIt() {
		this.store.answers.add(new ListResult.Listed(EraRevision.ofLong(4), List.of()));
		this.store.answers.add(new WatchResult.Changes(List.of(), EraRevision.ofLong(6)));
		this.store.answers.add(new WatchResult.Changes(List.of(), EraRevision.ofLong(6)));
		rounds(2);
		// An answer that came before its wait was over has a pause.
		this.clock.advance(500);
		rounds(1);
		assertThat(this.store.calls).containsExactly("list", "watch 4 for 5000", "watch 6 for 5000");
		assertThat(this.told).containsExactly("listed 4", "changed 6", "changed 6");
	}

	@Test
	void changesThatComeTogetherCostOneCall() {
		this.store.answers.add(new ListResult.Listed(EraRevision.ofLong(4), List.of()));
		this.store.answers.add(new WatchResult.Changes(List.of(new StoredObject("kind/a", EraRevision.ofLong(5), null)),
				EraRevision.ofLong(5)));
		this.store.answers.add(new WatchResult.Changes(List.of(), EraRevision.ofLong(9)));
		rounds(12);
		assertThat(this.store.calls).as("no further call at once").containsExactly("list", "watch 4 for 5000");
		this.clock.advance(500);
		rounds(1);
		assertThat(this.told).containsExactly("listed 4", "changed 5", "changed 9");
	}

	@Test
	void afterAGapEverythingIsListedAgain() {
		this.store.answers.add(new ListResult.Listed(EraRevision.ofLong(4), List.of()));
		this.store.answers.add(new WatchResult.Gap());
		this.store.answers.add(new ListResult.Listed(EraRevision.ofLong(9), List.of()));
		rounds(3);
		assertThat(this.told).containsExactly("listed 4", "gap 4", "listed 9");
	}

	@Test
	void changesOfANewEraAreListedAgainThoughTheirRevisionIsHigher() {
		this.store.answers.add(new ListResult.Listed(new EraRevision(1, 4), List.of()));
		this.store.answers.add(new WatchResult.Changes(List.of(), new EraRevision(2, 9)));
		this.store.answers.add(new ListResult.Listed(new EraRevision(2, 9), List.of()));
		rounds(3);
		assertThat(this.told).containsExactly("listed 1.4", "gap 1.4", "restored 1.4 to 2.9", "listed 2.9");
	}

	@Test
	void listingOfANewEraReplacesAHigherRevision() {
		this.store.answers.add(new ListResult.Listed(new EraRevision(1, 75), List.of()));
		this.store.answers.add(new WatchResult.Gap());
		this.store.answers.add(new ListResult.Listed(new EraRevision(2, 64), List.of()));
		this.store.answers.add(new WatchResult.Changes(List.of(), new EraRevision(2, 65)));
		rounds(4);
		assertThat(this.told).containsExactly("listed 1.75", "gap 1.75", "restored 1.75 to 2.64", "listed 2.64",
				"changed 2.65");
	}

	@Test
	void watchOfAnEarlierEraDoesNotDelayTheNextOne() {
		this.store.answers.add(new ListResult.Listed(new EraRevision(1, 75), List.of()));
		this.store.answers.add(SILENCE);
		this.store.answers.add(new WatchResult.Gap());
		this.store.answers.add(new ListResult.Listed(new EraRevision(2, 64), List.of()));
		this.store.answers.add(SILENCE);
		roundsFor(1500);
		assertThat(this.store.calls).containsExactly("list", "watch 1.75 for 5000", "watch 1.75 for 1", "list",
				"watch 2.64 for 5000");
	}

	@Test
	void lateAnswersOfAnEarlierEraAreIgnored() {
		this.store.answers.add(new ListResult.Listed(new EraRevision(1, 75), List.of()));
		this.store.answers.add(SILENCE);
		this.store.answers.add(SILENCE);
		this.store.answers.add(new WatchResult.Gap());
		this.store.answers.add(new ListResult.Listed(new EraRevision(2, 64), List.of()));
		this.store.answers.add(SILENCE);
		roundsFor(2500);
		this.store.complete(2, new WatchResult.Changes(List.of(), new EraRevision(1, 76)));
		rounds(2);
		assertThat(this.told).containsExactly("listed 1.75", "recovered", "gap 1.75", "restored 1.75 to 2.64",
				"listed 2.64");
	}

	@Test
	void aFailedCallIsToldOnceAndHidesNoChange() {
		this.store.answers.add(new ListResult.Listed(EraRevision.ofLong(4), List.of()));
		this.store.answers.add(new WatchResult.Away("cut"));
		this.store.answers.add(new WatchResult.Away("cut"));
		this.store.answers.add(new WatchResult.Changes(List.of(), EraRevision.ofLong(9)));
		rounds(2);
		rounds(3);
		assertThat(this.store.calls).as("pauses after a failure").hasSize(2);
		this.clock.advance(2000);
		rounds(1);
		this.clock.advance(2000);
		rounds(1);
		assertThat(this.told).containsExactly("listed 4", "away", "back", "changed 9");
		assertThat(this.store.calls).endsWith("watch 4 for 1");
	}

	@Test
	void aListingThatFailedIsMadeAgain() {
		this.store.answers.add(new ListResult.Away("cut"));
		this.store.answers.add(new ListResult.Listed(EraRevision.ofLong(9), List.of()));
		rounds(1);
		this.clock.advance(2000);
		rounds(1);
		assertThat(this.told).containsExactly("away", "back", "listed 9");
	}

	@Test
	void aWatchThatWentSilentHidesNoChangeForLongerThanTheBound() {
		this.store.answers.add(new ListResult.Listed(EraRevision.ofLong(4), List.of()));
		this.store.answers.add(SILENCE);
		this.store.answers.add(new WatchResult.Changes(List.of(new StoredObject("kind/a", EraRevision.ofLong(5), null)),
				EraRevision.ofLong(5)));
		roundsFor(BOUND_MILLIS);
		assertThat(this.told).contains("changed 5");
		assertThat(this.freshness.unconfirmedMillis()).isLessThan(BOUND_MILLIS);
	}

	@Test
	void aStoreThatAnswersLaterThanCallsAreMadeIsRead() {
		this.store.delayMillis = 1600;
		this.store.answers.add(new ListResult.Listed(EraRevision.ofLong(4), List.of()));
		this.store.answers.add(new ListResult.Listed(EraRevision.ofLong(4), List.of()));
		for (int i = 0; i < 20; i++) {
			this.store.answers.add(new WatchResult.Changes(List.of(), EraRevision.ofLong(4 + i)));
		}
		roundsFor(6000);
		assertThat(this.told).contains("listed 4", "changed 7");
		assertThat(this.told).doesNotContain("away");
	}

	@Test
	void aSilentStoreGetsBoundedCalls() {
		this.store.answers.add(new ListResult.Listed(EraRevision.ofLong(4), List.of()));
		for (int i = 0; i < 60; i++) {
			this.store.answers.add(SILENCE);
		}
		roundsFor(30_000);
		assertThat(this.store.calls.size()).isLessThanOrEqualTo(40);
	}

	@Test
	void anAnswerThatComesAfterANewerOneChangesNothing() {
		this.store.answers.add(new ListResult.Listed(EraRevision.ofLong(4), List.of()));
		this.store.answers.add(SILENCE);
		this.store.answers.add(new WatchResult.Changes(List.of(new StoredObject("kind/a", EraRevision.ofLong(7), null)),
				EraRevision.ofLong(7)));
		roundsFor(1500);
		this.store.complete(1, new WatchResult.Changes(List.of(new StoredObject("kind/a", EraRevision.ofLong(5), null)),
				EraRevision.ofLong(5)));
		rounds(2);
		assertThat(this.told).containsExactly("listed 4", "changed 7");
	}

	@Test
	void aPeerThatHasANewerChangeMakesTheStoreBeAskedBeforeTheBound() {
		this.store.answers.add(new ListResult.Listed(EraRevision.ofLong(4), List.of()));
		this.store.answers.add(SILENCE);
		this.store.answers.add(new WatchResult.Changes(List.of(new StoredObject("kind/a", EraRevision.ofLong(5), null)),
				EraRevision.ofLong(5)));
		rounds(2);
		this.freshness.claimed(new Freshness.Claim(EraRevision.ofLong(5), EraRevision.ofLong(5), 0), "peer",
				Long.MIN_VALUE);
		roundsFor(BOUND_MILLIS / 4);
		assertThat(this.told).containsExactly("listed 4", "changed 5");
	}

	@Test
	void aPeerThatTellsOfAChangeWhichTheStoreDeniesIsNotBelievedAgain() {
		this.store.answers.add(new ListResult.Listed(EraRevision.ofLong(4), List.of()));
		this.store.answers.add(SILENCE);
		for (int i = 0; i < 20; i++) {
			this.store.answers.add(new WatchResult.Changes(List.of(), EraRevision.ofLong(4)));
		}
		rounds(2);
		for (int i = 0; i < 100; i++) {
			this.freshness.claimed(
					new Freshness.Claim(EraRevision.ofLong(Long.MAX_VALUE), EraRevision.ofLong(Long.MAX_VALUE), 0),
					"peer", Long.MIN_VALUE);
			roundsFor(100);
		}
		assertThat(this.store.calls.size()).as("one call more than without the peer").isLessThanOrEqualTo(14);
	}

	@Test
	void aPeersConfirmationSparesTheCall() {
		this.store.answers.add(new ListResult.Listed(EraRevision.ofLong(4), List.of()));
		this.store.answers.add(SILENCE);
		rounds(2);
		for (int i = 0; i < 30; i++) {
			this.clock.advance(100);
			this.freshness.claimed(new Freshness.Claim(EraRevision.ofLong(4), EraRevision.ofLong(4), 0), "peer",
					this.clock.nowMillis());
			rounds(1);
		}
		assertThat(this.store.calls).hasSize(2);
	}

	@Test
	void lateFailureOfACallIsNoOutageOnceAPeerHasConfirmedTheCopy() {
		this.store.answers.add(new ListResult.Listed(EraRevision.ofLong(4), List.of()));
		for (int i = 0; i < 4; i++) {
			this.store.answers.add(SILENCE);
		}
		roundsFor(2500);
		this.freshness.claimed(new Freshness.Claim(EraRevision.ofLong(4), EraRevision.ofLong(4), 0), "peer",
				this.clock.nowMillis());
		this.store.complete(2, new WatchResult.Away("no answer"));
		rounds(1);
		assertThat(this.told).doesNotContain("away");
	}

	@Test
	void copyThatIsConfirmedAfterTooLongHasRecoveredBeforeItChanges() {
		this.store.answers.add(new ListResult.Listed(EraRevision.ofLong(4), List.of()));
		for (int i = 0; i < 3; i++) {
			this.store.answers.add(SILENCE);
		}
		this.store.answers.add(new WatchResult.Changes(List.of(), EraRevision.ofLong(5)));
		for (int i = 0; i < 3; i++) {
			this.store.answers.add(SILENCE);
		}
		roundsFor(3500);
		assertThat(this.told).containsExactly("listed 4", "recovered", "changed 5");
	}

	@Test
	void copyThatAPeerConfirmsAfterTooLongHasRecovered() {
		this.store.answers.add(new ListResult.Listed(EraRevision.ofLong(4), List.of()));
		for (int i = 0; i < 4; i++) {
			this.store.answers.add(SILENCE);
		}
		roundsFor(2500);
		this.freshness.claimed(new Freshness.Claim(EraRevision.ofLong(4), EraRevision.ofLong(4), 0), "peer",
				this.clock.nowMillis());
		rounds(2);
		assertThat(this.told).containsExactly("listed 4", "recovered");
	}

	@Test
	void aWatchThatIsCutOffIsNoOutage() {
		this.store.answers.add(new ListResult.Listed(EraRevision.ofLong(4), List.of()));
		for (int i = 0; i < 40; i++) {
			this.store.answers.add(new WatchResult.Away("cut off"));
			this.store.answers.add(new WatchResult.Changes(List.of(), EraRevision.ofLong(4)));
		}
		roundsFor(10_000);
		assertThat(this.told).doesNotContain("away");
		assertThat(this.store.calls.size()).as("pauses grow though inquiries are answered").isLessThan(45);
	}

	@Test
	void aHistoryThatIsAlwaysGoneCostsBoundedCalls() {
		for (int i = 0; i < 100; i++) {
			this.store.answers.add(new ListResult.Listed(EraRevision.ofLong(4), List.of()));
			this.store.answers.add(new WatchResult.Gap());
		}
		roundsFor(10_000);
		assertThat(this.store.calls.size()).isLessThan(60);
	}

	@Test
	void watchesThatEndAtOnceCostBoundedCalls() {
		this.store.answers.add(new ListResult.Listed(EraRevision.ofLong(4), List.of()));
		for (int i = 0; i < 100; i++) {
			this.store.answers.add(new WatchResult.Changes(List.of(), EraRevision.ofLong(4)));
		}
		roundsFor(10_000);
		assertThat(this.store.calls.size()).isLessThan(45);
	}

	@Test
	void aChangeThatTheListenerCouldNotTakeIsListedAgain() {
		this.store.answers.add(new ListResult.Listed(EraRevision.ofLong(4), List.of()));
		this.store.answers.add(new WatchResult.Changes(List.of(new StoredObject("kind/a", EraRevision.ofLong(5), null)),
				EraRevision.ofLong(5)));
		this.store.answers.add(new ListResult.Listed(EraRevision.ofLong(6), List.of()));
		this.store.answers.add(SILENCE);
		rounds(1);
		this.listenerFails = true;
		rounds(1);
		this.listenerFails = false;
		this.clock.advance(200);
		long unconfirmedMillis = this.freshness.unconfirmedMillis();
		rounds(2);
		assertThat(unconfirmedMillis).as("not confirmed before it was taken").isEqualTo(200);
		assertThat(this.told).containsExactly("listed 4", "listed 6");
	}

	@Test
	void aListingOfManySlowPagesIsTaken() {
		this.store.delayMillis = 4 * 1600;
		for (int i = 0; i < 8; i++) {
			this.store.answers.add(new ListResult.Listed(EraRevision.ofLong(4), List.of()));
		}
		for (int i = 0; i < 30; i++) {
			this.store.answers.add(SILENCE);
		}
		roundsFor(7000);
		assertThat(this.told).contains("listed 4");
	}

	@Test
	void callsThatTimeOutAfterASilenceDoNotDelayTheNextOne() {
		this.store.answers.add(new ListResult.Listed(EraRevision.ofLong(4), List.of()));
		for (int i = 0; i < 60; i++) {
			this.store.answers.add(SILENCE);
		}
		roundsFor(10_000);
		int before = this.store.calls.size();
		for (int call = 2; call < before; call++) {
			this.store.complete(call, new WatchResult.Away("no answer"));
			roundsFor(100);
		}
		roundsFor(BOUND_MILLIS / 2);
		assertThat(this.store.calls.size()).isGreaterThan(before);
	}

	@Test
	void pausesStayShortEnoughToBeBackInTime() {
		for (int i = 0; i < 30; i++) {
			this.store.answers.add(new ListResult.Away("down"));
		}
		for (int i = 0; i < 20; i++) {
			int before = this.store.calls.size();
			this.clock.advance(800);
			rounds(1);
			assertThat(this.store.calls).hasSize(before + 1);
		}
	}

	/**
	 * Notes what it is told.
	 */
	private final class Told implements StoreListener {

		private void failIfAsked() {
			if (StoreWatchTests.this.listenerFails) {
				throw new IllegalStateException("asked for by the test");
			}
		}

		@Override
		public void listed(ListResult.Listed listing) {
			failIfAsked();
			StoreWatchTests.this.told.add("listed " + listing.revision());
		}

		@Override
		public void changed(WatchResult.Changes changes) {
			failIfAsked();
			StoreWatchTests.this.told.add("changed " + changes.revision());
		}

		@Override
		public void gap(EraRevision afterRevision) {
			StoreWatchTests.this.told.add("gap " + afterRevision);
		}

		@Override
		public void restored(EraRevision before, EraRevision now) {
			StoreWatchTests.this.told.add("restored " + before + " to " + now);
		}

		@Override
		public void away(String reason) {
			StoreWatchTests.this.told.add("away");
		}

		@Override
		public void recovered() {
			StoreWatchTests.this.told.add("recovered");
		}

		@Override
		public void back() {
			StoreWatchTests.this.told.add("back");
		}

	}

	/**
	 * Gives the answers of a script.
	 */
	private final class ScriptedStore implements AsyncObjectStore {

		private final Deque<Object> answers = new ArrayDeque<>();

		private final List<String> calls = new ArrayList<>();

		private final List<CompletableFuture<Object>> futures = new ArrayList<>();

		private final List<Long> dueMillis = new ArrayList<>();

		private final List<Object> scripted = new ArrayList<>();

		private long delayMillis;

		@Override
		public CompletableFuture<ListResult> startList(String prefix, long timeoutMillis) {
			return begin("list").thenApply(ListResult.class::cast);
		}

		@Override
		public CompletableFuture<WatchResult> startWatch(String prefix, EraRevision afterRevision, long waitMillis,
				long timeoutMillis) {
			return begin("watch " + afterRevision + " for " + waitMillis).thenApply(WatchResult.class::cast);
		}

		private CompletableFuture<Object> begin(String call) {
			this.calls.add(call);
			CompletableFuture<Object> future = new CompletableFuture<>();
			this.futures.add(future);
			this.scripted.add(this.answers.removeFirst());
			this.dueMillis.add(StoreWatchTests.this.clock.nowMillis() + this.delayMillis);
			passTime();
			return future;
		}

		private void passTime() {
			for (int i = 0; i < this.futures.size(); i++) {
				if (this.scripted.get(i) != SILENCE
						&& this.dueMillis.get(i) <= StoreWatchTests.this.clock.nowMillis()) {
					this.futures.get(i).complete(this.scripted.get(i));
				}
			}
		}

		private void complete(int call, Object answer) {
			this.futures.get(call).complete(answer);
		}

	}

}
