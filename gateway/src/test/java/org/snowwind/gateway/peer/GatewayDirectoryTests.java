package org.snowwind.gateway.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.Test;
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

	private void rounds(int count) {
		for (int i = 0; i < count; i++) {
			this.directory.round();
		}
	}

	private static JsonNode at(String address) {
		return Json.MAPPER.createObjectNode().put("address", address);
	}

	@Test
	void aGatewayRegistersOnceAndFindsTheOthers() {
		this.store.put("gateways/other", 0, at("10.0.0.2:1"));
		rounds(3);
		assertThat(this.found).containsExactly("10.0.0.2:1");
		assertThat(this.store.objects.get("gateways/me").value()).isEqualTo(at("10.0.0.1:1"));
		assertThat(this.store.writes).isEqualTo(2);
	}

	@Test
	void anEntryOfAnEarlierAddressIsReplaced() {
		this.store.put("gateways/me", 0, at("10.0.0.7:1"));
		rounds(1);
		assertThat(this.store.objects.get("gateways/me").value()).isEqualTo(at("10.0.0.1:1"));
	}

	@Test
	void anEntryThatWasDeletedIsWrittenAgain() {
		rounds(1);
		this.store.objects.remove("gateways/me");
		rounds(1);
		assertThat(this.store.objects).containsKey("gateways/me");
	}

	@Test
	void aGatewayThatIsGoneIsForgottenAndALiveOneIsNot() {
		this.store.put("gateways/gone", 0, at("10.0.0.2:1"));
		this.store.put("gateways/live", 0, at("10.0.0.3:1"));
		this.alive = Set.of("10.0.0.3:1");
		rounds(20);
		assertThat(this.store.objects).doesNotContainKey("gateways/gone").containsKey("gateways/live");
	}

	@Test
	void whileThePlatformIsAwayNothingIsForgotten() {
		this.store.put("gateways/gone", 0, at("10.0.0.2:1"));
		this.store.away = true;
		rounds(20);
		assertThat(this.store.objects).containsKey("gateways/gone");
	}

	/**
	 * A store in memory.
	 */
	private static final class MapStore implements ObjectStore {

		private final Map<String, StoredObject> objects = new HashMap<>();

		private long revision;

		private int writes;

		private boolean away;

		@Override
		public ListResult list(String prefix) {
			return this.away ? new ListResult.Away("away")
					: new ListResult.Listed(this.revision, List.copyOf(this.objects.values()));
		}

		@Override
		public WriteResult put(String key, long expectedRevision, JsonNode value) {
			this.writes++;
			this.objects.put(key, new StoredObject(key, ++this.revision, value));
			return new WriteResult.Written(this.revision);
		}

		@Override
		public WriteResult delete(String key, long expectedRevision) {
			this.objects.remove(key);
			return new WriteResult.Written(++this.revision);
		}

		@Override
		public GetResult get(String key) {
			throw new UnsupportedOperationException("the directory reads no single object");
		}

		@Override
		public WatchResult watch(String prefix, long afterRevision, long waitMillis) {
			throw new UnsupportedOperationException("the directory watches nothing");
		}

	}

}
