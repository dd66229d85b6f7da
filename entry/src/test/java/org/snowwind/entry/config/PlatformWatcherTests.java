package org.snowwind.entry.config;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.Test;
import org.snowwind.config.check.BuiltInChecks;
import org.snowwind.config.check.ResourceChecks;
import org.snowwind.config.snapshot.SnapshotBuilder;
import org.snowwind.model.EraRevision;
import org.snowwind.model.Json;
import org.snowwind.model.ManualClock;
import org.snowwind.model.resource.ResourceKind;
import org.snowwind.model.resource.StoredResource;
import org.snowwind.store.GetResult;
import org.snowwind.store.ListResult;
import org.snowwind.store.ObjectStore;
import org.snowwind.store.StoredObject;
import org.snowwind.store.WatchResult;
import org.snowwind.store.WriteResult;

import static org.assertj.core.api.Assertions.assertThat;

class PlatformWatcherTests {

	private final ManualClock clock = new ManualClock(0);

	private final ScriptedStore store = new ScriptedStore();

	private final ConfigHolder config = new ConfigHolder("test");

	private boolean onDuty = true;

	private long platformAgeMillis;

	private final PlatformWatcher watcher = new PlatformWatcher(this.store,
			new SnapshotBuilder(new ResourceChecks(BuiltInChecks.ALL)), this.config, () -> this.onDuty, this.clock,
			new Random(1), (age) -> this.platformAgeMillis = age);

	private static StoredObject service(long revision, String name) {
		JsonNode value = Json.MAPPER
			.valueToTree(new StoredResource("Service", name, 1, null, Json.MAPPER.createObjectNode()));
		return new StoredObject("resources/Service/" + name, EraRevision.ofLong(revision), value);
	}

	private static ListResult listed(long revision, StoredObject... objects) {
		return new ListResult.Listed(EraRevision.ofLong(revision), List.of(objects));
	}

	private static WatchResult changed(StoredObject... objects) {
		return new WatchResult.Changes(List.of(objects),
				(objects.length > 0) ? objects[objects.length - 1].revision() : EraRevision.NONE);
	}

	@Test
	void whoIsNotOnDutyCallsNobody() {
		this.onDuty = false;
		this.watcher.round();
		assertThat(this.store.calls).isEmpty();
	}

	@Test
	void aListingAndThenChangesComeInForce() {
		this.store.lists.add(listed(3, service(3, "desk")));
		this.store.watches.add(changed(service(4, "shop")));
		this.watcher.round();
		this.watcher.round();
		assertThat(this.config.current().revision()).isEqualTo(EraRevision.ofLong(4));
		assertThat(this.config.current().hasService("shop")).isTrue();
		assertThat(this.store.calls).containsExactly("list", "watch after 3");
	}

	@Test
	void afterAGapEverythingIsListedAgain() {
		this.store.lists.add(listed(3, service(3, "desk")));
		this.store.watches.add(new WatchResult.Gap());
		this.store.lists.add(listed(9, service(9, "shop")));
		for (int i = 0; i < 3; i++) {
			this.watcher.round();
		}
		assertThat(this.config.current().revision()).isEqualTo(EraRevision.ofLong(9));
		assertThat(this.config.current().hasService("desk")).isFalse();
	}

	private static StoredObject service(EraRevision revision, String name, long generation) {
		JsonNode value = Json.MAPPER
			.valueToTree(new StoredResource("Service", name, generation, null, Json.MAPPER.createObjectNode()));
		return new StoredObject("resources/Service/" + name, revision, value);
	}

	private long generationOf(String service) {
		return this.config.current().resources().find(ResourceKind.SERVICE, service).orElseThrow().generation();
	}

	@Test
	void listingOfAnEmptyStoreIsNoConfiguration() {
		this.store.lists.add(new ListResult.Listed(new EraRevision(1, 0), List.of()));
		this.watcher.round();
		assertThat(this.config.current().revision().isNone()).isTrue();
	}

	@Test
	void configurationDoesNotGoBackWhenTheStoreIsRestored() {
		this.store.lists.add(new ListResult.Listed(new EraRevision(1, 9),
				List.of(service(new EraRevision(1, 8), "desk", 2), service(new EraRevision(1, 9), "shop", 1))));
		this.store.watches.add(new WatchResult.Gap());
		this.store.lists
			.add(new ListResult.Listed(new EraRevision(2, 7), List.of(service(new EraRevision(2, 5), "desk", 1))));
		this.store.watches
			.add(new WatchResult.Changes(List.of(service(new EraRevision(2, 8), "desk", 3)), new EraRevision(2, 8)));
		for (int i = 0; i < 3; i++) {
			this.watcher.round();
		}
		assertThat(generationOf("desk")).isEqualTo(2);
		assertThat(this.config.current().hasService("shop")).isTrue();
		this.watcher.round();
		assertThat(generationOf("desk")).as("a change whose revision was given out again").isEqualTo(3);
		assertThat(this.config.current().revision()).isEqualTo(new EraRevision(2, 8));
	}

	@Test
	void resourceThatWasAppliedToARestoredStoreReplacesALaterGenerationThatWasLost() {
		this.store.lists
			.add(new ListResult.Listed(new EraRevision(1, 9), List.of(service(new EraRevision(1, 9), "desk", 5))));
		this.store.watches.add(new WatchResult.Gap());
		this.store.lists
			.add(new ListResult.Listed(new EraRevision(2, 9), List.of(service(new EraRevision(2, 9), "desk", 4))));
		for (int i = 0; i < 3; i++) {
			this.watcher.round();
		}
		assertThat(generationOf("desk")).isEqualTo(4);
	}

	@Test
	void removedResourceDoesNotReturnWhenTheStoreIsRestored() {
		StoredObject shop = service(new EraRevision(1, 5), "shop", 1);
		this.store.lists.add(new ListResult.Listed(new EraRevision(1, 5), List.of(shop)));
		this.store.watches.add(new WatchResult.Changes(
				List.of(new StoredObject(shop.key(), new EraRevision(1, 9), null)), new EraRevision(1, 9)));
		this.store.watches.add(new WatchResult.Gap());
		this.store.lists
			.add(new ListResult.Listed(new EraRevision(2, 7), List.of(service(new EraRevision(2, 5), "shop", 1))));
		for (int i = 0; i < 4; i++) {
			this.watcher.round();
		}
		assertThat(this.config.current().hasService("shop")).isFalse();
		assertThat(this.config.current().revision()).isEqualTo(new EraRevision(2, 7));
	}

	@Test
	void anOldListingNeverDisplacesANewerConfiguration() {
		this.store.lists.add(listed(9, service(9, "shop")));
		this.watcher.round();
		this.onDuty = false;
		this.watcher.round();
		this.onDuty = true;
		this.store.lists.add(listed(3, service(3, "desk")));
		this.watcher.round();
		assertThat(this.config.current().revision()).isEqualTo(EraRevision.ofLong(9));
		assertThat(this.config.current().hasService("shop")).isTrue();
	}

	@Test
	void duringAnHourOfOutageCallsAreFewAndTheConfigurationStays() {
		this.store.lists.add(listed(3, service(3, "desk")));
		this.watcher.round();
		this.store.calls.clear();
		for (int i = 0; i < 36_000; i++) {
			this.watcher.round();
			this.clock.advance(100);
		}
		assertThat(this.store.calls.size()).isBetween(100, 2000);
		assertThat(this.config.current().hasService("desk")).isTrue();
		assertThat(this.platformAgeMillis).isGreaterThan(3_500_000);
	}

	@Test
	void afterAnOutageEverythingIsListedAgain() {
		this.store.lists.add(listed(3, service(3, "desk")));
		this.watcher.round();
		this.watcher.round();
		this.clock.advance(60_000);
		this.store.watches.add(changed());
		this.store.lists.add(listed(5, service(5, "shop")));
		this.watcher.round();
		this.watcher.round();
		assertThat(this.config.current().revision()).isEqualTo(EraRevision.ofLong(5));
	}

	private static final class ScriptedStore implements ObjectStore {

		private final List<String> calls = new ArrayList<>();

		private final Deque<ListResult> lists = new ArrayDeque<>();

		private final Deque<WatchResult> watches = new ArrayDeque<>();

		@Override
		public ListResult list(String prefix) {
			this.calls.add("list");
			return this.lists.isEmpty() ? new ListResult.Away("script") : this.lists.removeFirst();
		}

		@Override
		public WatchResult watch(String prefix, EraRevision afterRevision, long waitMillis) {
			this.calls.add("watch after " + afterRevision);
			return this.watches.isEmpty() ? new WatchResult.Away("script") : this.watches.removeFirst();
		}

		@Override
		public GetResult get(String key) {
			return new GetResult.Away("script");
		}

		@Override
		public WriteResult put(String key, EraRevision expectedRevision, JsonNode value) {
			return new WriteResult.NotWritten("script");
		}

		@Override
		public WriteResult delete(String key, EraRevision expectedRevision) {
			return new WriteResult.NotWritten("script");
		}

	}

}
