package org.snowwind.gateway.registry;

import java.util.HashMap;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.snowwind.model.EraRevision;
import org.snowwind.model.ManualClock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link Departures} and the {@link RegistryHolder} that applies them.
 */
class DeparturesTests {

	private final ManualClock clock = new ManualClock(1000);

	private final RegistryHolder holder = new RegistryHolder(this.clock);

	private static BackendEntry server(String id, long bornMillis, boolean draining) {
		return new BackendEntry(id, bornMillis, "desk", "10.0.0.1", 80, "dc", 8, draining);
	}

	private static BackendEntry ready(String id) {
		return server(id, BackendIncarnation.UNKNOWN, false);
	}

	private static BackendEntry draining(String id) {
		return server(id, BackendIncarnation.UNKNOWN, true);
	}

	private boolean offer(long era, long number, BackendEntry... servers) {
		Map<String, BackendEntry> byId = new HashMap<>();
		for (BackendEntry server : servers) {
			byId.put(server.id(), server);
		}
		return this.holder.offer(new Registry(new EraRevision(era, number), byId));
	}

	private boolean isReady(String id) {
		BackendEntry server = this.holder.current().servers().get(id);
		return server != null && !server.draining();
	}

	@Test
	void drainingServerIsNotReadyAgainInARestoredStore() {
		offer(1, 5, ready("a"), ready("b"));
		offer(1, 6, draining("a"), ready("b"));
		offer(2, 5, ready("a"), ready("b"));
		this.clock.advance(2 * Departures.UNVERIFIED_MILLIS);
		this.holder.refresh();
		assertThat(isReady("a")).isFalse();
		assertThat(isReady("b")).isTrue();
	}

	@Test
	void drainingServerIsNotReadyAgainByAnOlderDocumentOfTheSameEra() {
		offer(1, 5, ready("a"));
		offer(1, 6, draining("a"));
		offer(1, 7, ready("a"));
		assertThat(isReady("a")).isFalse();
	}

	@Test
	void removedServerGetsNothingWhileItsEntryInARestoredStoreMayBeAnOldOne() {
		offer(1, 5, ready("a"));
		offer(1, 6);
		offer(2, 5, ready("a"));
		assertThat(isReady("a")).isFalse();
		this.clock.advance(Departures.UNVERIFIED_MILLIS - 1);
		this.holder.refresh();
		assertThat(isReady("a")).isFalse();
	}

	@Test
	void serverWhoseEntryOutlivesThatOfAnEndedServerIsReady() {
		offer(1, 5, ready("a"));
		offer(1, 6);
		offer(2, 5, ready("a"));
		this.clock.advance(Departures.UNVERIFIED_MILLIS);
		this.holder.refresh();
		assertThat(isReady("a")).isTrue();
	}

	@Test
	void serverThatWasRemovedAndWrittenAgainInARestoredStoreIsNotReady() {
		offer(1, 5, ready("a"));
		offer(1, 6);
		offer(2, 5);
		offer(2, 6, ready("a"));
		assertThat(isReady("a")).isFalse();
	}

	@Test
	void removedServerThatRegistersAgainIsReady() {
		offer(1, 5, ready("a"));
		offer(1, 6);
		offer(1, 7, ready("a"));
		assertThat(isReady("a")).isTrue();
	}

	@Test
	void newIncarnationOfALeavingServerIsReady() {
		offer(1, 5, server("a", 100, true));
		offer(2, 4, server("a", 200, false));
		assertThat(isReady("a")).isTrue();
	}

	@Test
	void registryOfAnEarlierEraDoesNotReplaceOneWithALowerNumber() {
		offer(1, 75, ready("a"), ready("b"));
		assertThat(offer(2, 64, ready("a"), ready("b"))).isTrue();
		assertThat(offer(1, 76, ready("a"), ready("b"))).isFalse();
		assertThat(offer(2, 65, ready("a"))).isTrue();
		assertThat(isReady("b")).isFalse();
	}

	@Test
	void rememberedServersAreBounded() {
		for (int i = 0; i < 2 * Departures.MAX_ENTRIES; i++) {
			offer(1, 2 * i + 1, draining("server-" + i));
			offer(1, 2 * i + 2);
		}
		offer(2, 1, ready("server-0"), ready("server-" + (2 * Departures.MAX_ENTRIES - 1)));
		assertThat(isReady("server-0")).isTrue();
		assertThat(isReady("server-" + (2 * Departures.MAX_ENTRIES - 1))).isFalse();
	}

}
