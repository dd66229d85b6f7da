package org.snowwind.gateway.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.Test;
import org.snowwind.model.EraRevision;
import org.snowwind.model.Json;
import org.snowwind.store.GetResult;
import org.snowwind.store.ListResult;
import org.snowwind.store.ObjectStore;
import org.snowwind.store.StoredObject;
import org.snowwind.store.WatchResult;
import org.snowwind.store.WriteResult;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link GatewayDirectory}.
 */
class GatewayDirectoryTests {

	private final MapStore store = new MapStore();

	private final List<String> found = new ArrayList<>();

	private Set<String> alive = Set.of();

	private final GatewayDirectory directory = new GatewayDirectory(this.store, "me", "10.0.0.1:1", (addresses) -> {
		this.found.clear();
		this.found.addAll(addresses);
	}, () -> this.alive);

	private void runRounds(int count) {
		for (int i = 0; i < count; i++) {
			this.directory.refresh();
		}
	}

	private static JsonNode addressEntry(String address) {
		return Json.MAPPER.createObjectNode().put("address", address);
	}

	@Test
	void gatewayRegistersOnceAndDiscoversOthers() {
		this.store.put("gateways/other", EraRevision.NONE, addressEntry("10.0.0.2:1"));
		runRounds(3);
		assertThat(this.found).containsExactly("10.0.0.2:1");
		assertThat(this.store.objects.get("gateways/me").value()).isEqualTo(addressEntry("10.0.0.1:1"));
		assertThat(this.store.writes).isEqualTo(2);
	}

	@Test
	void entryWithOutdatedAddressIsReplaced() {
		this.store.put("gateways/me", EraRevision.NONE, addressEntry("10.0.0.7:1"));
		runRounds(1);
		assertThat(this.store.objects.get("gateways/me").value()).isEqualTo(addressEntry("10.0.0.1:1"));
	}

	@Test
	void deletedEntryIsWrittenAgain() {
		runRounds(1);
		this.store.objects.remove("gateways/me");
		runRounds(1);
		assertThat(this.store.objects).containsKey("gateways/me");
	}

	@Test
	void entryOfDeadGatewayIsDeletedAndThatOfLiveOneKept() {
		this.store.put("gateways/gone", EraRevision.NONE, addressEntry("10.0.0.2:1"));
		this.store.put("gateways/live", EraRevision.NONE, addressEntry("10.0.0.3:1"));
		this.alive = Set.of("10.0.0.3:1");
		runRounds(20);
		assertThat(this.store.objects).doesNotContainKey("gateways/gone").containsKey("gateways/live");
	}

	@Test
	void noEntryIsDeletedWhilePlatformIsUnavailable() {
		this.store.put("gateways/gone", EraRevision.NONE, addressEntry("10.0.0.2:1"));
		this.store.unavailable = true;
		runRounds(20);
		assertThat(this.store.objects).containsKey("gateways/gone");
	}

	/**
	 * A store in memory that can be made unavailable.
	 */
	private static final class MapStore implements ObjectStore {

		private final Map<String, StoredObject> objects = new HashMap<>();

		private long revision;

		private int writes;

		private boolean unavailable;

		@Override
		public ListResult list(String prefix) {
			return this.unavailable ? new ListResult.Away("away")
					: new ListResult.Listed(EraRevision.ofLong(this.revision), List.copyOf(this.objects.values()));
		}

		@Override
		public WriteResult put(String key, EraRevision expectedRevision, JsonNode value) {
			this.writes++;
			this.objects.put(key, new StoredObject(key, EraRevision.ofLong(++this.revision), value));
			return new WriteResult.Written(EraRevision.ofLong(this.revision));
		}

		@Override
		public WriteResult delete(String key, EraRevision expectedRevision) {
			this.objects.remove(key);
			return new WriteResult.Written(EraRevision.ofLong(++this.revision));
		}

		@Override
		public GetResult get(String key) {
			throw new UnsupportedOperationException("the directory does not read single objects");
		}

		@Override
		public WatchResult watch(String prefix, EraRevision afterRevision, long waitMillis) {
			throw new UnsupportedOperationException("the directory does not watch objects");
		}

	}

}
