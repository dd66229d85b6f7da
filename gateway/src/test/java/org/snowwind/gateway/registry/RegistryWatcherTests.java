package org.snowwind.gateway.registry;

import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.Test;
import org.snowwind.gateway.table.DocumentException;
import org.snowwind.model.EraRevision;
import org.snowwind.model.Json;
import org.snowwind.model.ManualClock;
import org.snowwind.store.ListResult;
import org.snowwind.store.StoredObject;
import org.snowwind.store.WatchResult;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link RegistryWatcher} with entries that cannot be decoded.
 */
class RegistryWatcherTests {

	private final ManualClock clock = new ManualClock(0);

	private final RegistryHolder holder = new RegistryHolder(this.clock);

	private final RegistryWatcher watcher = new RegistryWatcher(new NumberDecoder(), new RegistryView(1000),
			this.holder, this.clock);

	private static StoredObject entry(String name, String value) {
		try {
			return new StoredObject("servers/" + name, EraRevision.ofLong(1), Json.MAPPER.readTree(value));
		}
		catch (java.io.IOException ex) {
			throw new IllegalArgumentException(ex);
		}
	}

	private Iterable<String> servers() {
		return this.holder.current().servers().keySet();
	}

	@Test
	void unreadableEntryInListingDoesNotAffectOtherServers() {
		this.watcher.listed(new ListResult.Listed(EraRevision.ofLong(5),
				List.of(entry("a", "1"), entry("odd", "[]"), entry("b", "2"))));
		assertThat(servers()).containsExactlyInAnyOrder("a", "b");
		assertThat(this.watcher.unreadableCount()).isEqualTo(1);
	}

	@Test
	void entryThatBecomesUnreadableRemovesOnlyItsServer() {
		this.watcher.listed(new ListResult.Listed(EraRevision.ofLong(5), List.of(entry("a", "1"))));
		this.watcher
			.changed(new WatchResult.Changes(List.of(entry("a", "null"), entry("b", "2")), EraRevision.ofLong(7)));
		assertThat(servers()).containsExactly("b");
		this.watcher.changed(new WatchResult.Changes(List.of(entry("a", "1")), EraRevision.ofLong(8)));
		assertThat(servers()).containsExactlyInAnyOrder("a", "b");
		assertThat(this.watcher.unreadableCount()).isZero();
	}

	@Test
	void unreadableColdTimeIsCountedAndHidesNoServer() {
		this.watcher.listed(new ListResult.Listed(EraRevision.ofLong(5), List.of(entry("a", "-1"), entry("b", "2"))));
		assertThat(servers()).containsExactlyInAnyOrder("a", "b");
		assertThat(this.watcher.unreadableColdTimeCount()).isEqualTo(1);
		this.watcher.changed(new WatchResult.Changes(List.of(entry("a", "1")), EraRevision.ofLong(7)));
		assertThat(this.watcher.unreadableColdTimeCount()).isZero();
	}

	/**
	 * Decodes every number as a server and rejects everything else.
	 */
	private static final class NumberDecoder implements RegistryDecoder {

		@Override
		public String prefix() {
			return "servers/";
		}

		@Override
		public BackendEntry decode(String id, JsonNode document) throws DocumentException {
			if (document == null || !document.isNumber()) {
				throw new DocumentException("not a number");
			}
			return new BackendEntry(id, BackendIncarnation.UNKNOWN, "s", "10.0.0.1", 80, "dc", 1, false);
		}

		@Override
		public Optional<String> coldTimeFault(JsonNode document) {
			return (document.intValue() < 0) ? Optional.of("negative") : Optional.empty();
		}

	}

}
