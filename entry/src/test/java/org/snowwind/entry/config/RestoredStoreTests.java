package org.snowwind.entry.config;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.snowwind.http.DataLoop;
import org.snowwind.http.client.JsonClient;
import org.snowwind.model.EraRevision;
import org.snowwind.model.Json;
import org.snowwind.standin.StandInPlatform;
import org.snowwind.store.GetResult;
import org.snowwind.store.HttpObjectStore;
import org.snowwind.store.ListResult;
import org.snowwind.store.WatchResult;
import org.snowwind.store.WriteResult;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link HttpObjectStore} before a platform that is restored from an older
 * copy.
 */
class RestoredStoreTests {

	private static final String KEY = "resources/Service/desk";

	private static final JsonNode VALUE = Json.MAPPER.createObjectNode().put("a", 1);

	private static final JsonNode OTHER = Json.MAPPER.createObjectNode().put("a", 2);

	private final DataLoop loop = new DataLoop("platform");

	private final StandInPlatform platform = new StandInPlatform(this.loop);

	private final JsonClient client = new JsonClient(Map.of(), 1000);

	private final HttpObjectStore store = newStore();

	private HttpObjectStore newStore() {
		InetSocketAddress address = this.platform.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
		return new HttpObjectStore(this.client, "http://127.0.0.1:" + address.getPort(), 1000);
	}

	@AfterEach
	void close() {
		this.client.close();
		this.platform.close();
		this.loop.close();
	}

	private EraRevision put(EraRevision expected, JsonNode value) {
		return ((WriteResult.Written) this.store.put(KEY, expected, value)).revision();
	}

	@Test
	void watchThatGoesOnAcrossADrillIsAGapThoughItsRevisionWasGivenOutAgain() {
		EraRevision first = put(EraRevision.NONE, VALUE);
		Runnable restore = this.platform.copy();
		EraRevision lost = put(first, OTHER);
		restore.run();
		EraRevision again = put(((GetResult.Found) this.store.get(KEY)).object().revision(), VALUE);
		assertThat(again.number()).isEqualTo(lost.number());
		assertThat(this.store.watch("resources/", lost, 10)).isInstanceOf(WatchResult.Gap.class);
		assertThat(((ListResult.Listed) this.store.list("resources/")).revision()).isEqualTo(again);
	}

	@Test
	void writeThatExpectsALostRevisionDoesNotReplaceTheObjectThatHasItNow() {
		EraRevision first = put(EraRevision.NONE, VALUE);
		Runnable restore = this.platform.copy();
		EraRevision lost = put(first, OTHER);
		restore.run();
		EraRevision again = put(((GetResult.Found) this.store.get(KEY)).object().revision(), VALUE);
		assertThat(this.store.put(KEY, lost, OTHER)).isEqualTo(new WriteResult.Conflict(again));
		assertThat(((GetResult.Found) this.store.get(KEY)).object().value()).isEqualTo(VALUE);
	}

}
