package org.snowwind.gateway.registry;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.snowwind.model.EraRevision;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link RegistryView} and {@link RegistryHolder}.
 */
class RegistryViewTests {

	private static final long GRACE_MILLIS = 2000;

	private final RegistryView view = new RegistryView(GRACE_MILLIS);

	private static BackendEntry server(String id, boolean draining) {
		return new BackendEntry(id, BackendIncarnation.UNKNOWN, "s", "10.0.0.1", 80, "dc", 8, draining);
	}

	private static BackendEntry server(String id) {
		return server(id, false);
	}

	private boolean contains(String id, long nowMillis) {
		return this.view.registry(nowMillis).servers().containsKey(id);
	}

	@Test
	void removedServerIsDroppedImmediately() {
		this.view.replaceAll(EraRevision.ofLong(1), List.of(server("a"), server("b")), 0);
		this.view.remove("a", 10);
		assertThat(contains("a", 10)).isFalse();
		assertThat(contains("b", 10)).isTrue();
	}

	@Test
	void serverThatLapsedDuringOutageIsKeptForGracePeriod() {
		this.view.replaceAll(EraRevision.ofLong(1), List.of(server("a"), server("b")), 0);
		this.view.platformRecovered(5000);
		this.view.replaceAll(EraRevision.ofLong(2), List.of(server("b")), 5001);
		assertThat(contains("a", 5001)).isTrue();
		assertThat(this.view.hasLapsedServers()).isTrue();
		assertThat(contains("a", 5000 + GRACE_MILLIS)).isFalse();
		assertThat(this.view.hasLapsedServers()).isFalse();
	}

	@Test
	void lapsedServerThatRegistersAgainOutlivesGracePeriod() {
		this.view.replaceAll(EraRevision.ofLong(1), List.of(server("a")), 0);
		this.view.platformRecovered(5000);
		this.view.replaceAll(EraRevision.ofLong(2), List.of(), 5001);
		this.view.put(server("a"));
		assertThat(contains("a", 9000)).isTrue();
	}

	@Test
	void drainingServerIsNotKeptAfterOutage() {
		this.view.replaceAll(EraRevision.ofLong(1), List.of(server("a", true)), 0);
		this.view.platformRecovered(5000);
		this.view.replaceAll(EraRevision.ofLong(2), List.of(), 5001);
		assertThat(contains("a", 5001)).isFalse();
	}

	@Test
	void revisionNeverDecreases() {
		this.view.replaceAll(EraRevision.ofLong(7), List.of(), 0);
		this.view.advanceRevision(EraRevision.ofLong(5));
		assertThat(this.view.registry(0).revision()).isEqualTo(EraRevision.ofLong(7));
		this.view.advanceRevision(EraRevision.ofLong(9));
		assertThat(this.view.registry(0).revision()).isEqualTo(EraRevision.ofLong(9));
	}

	@Test
	void holderRejectsOlderRegistry() {
		RegistryHolder holder = new RegistryHolder(() -> 0);
		this.view.replaceAll(EraRevision.ofLong(7), List.of(server("a")), 0);
		assertThat(holder.offer(this.view.registry(0))).isTrue();
		assertThat(holder.offer(Registry.NONE)).isFalse();
		assertThat(holder.current().servers()).containsKey("a");
	}

}
