package org.snowwind.gateway.backend;

import java.io.IOException;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.snowwind.decide.limit.AnnouncedLimit;
import org.snowwind.decide.limit.ColdShare;
import org.snowwind.decide.notice.ServerNotice;
import org.snowwind.gateway.registry.BackendEntry;
import org.snowwind.gateway.registry.Registry;
import org.snowwind.model.EraRevision;
import org.snowwind.model.Json;
import org.snowwind.model.ManualClock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for the choice of a server that is cold.
 */
class BackendColdTests {

	/** 20 requests a second, 4 of which are reserved. */
	private static final double PER_SECOND = 10;

	private static final int SHARE = 16;

	private final ManualClock clock = new ManualClock(10_000);

	private double coldPerSecond = PER_SECOND;

	private final BackendTable table = table(new ColdServers.Bound(1.5, 5));

	private BackendTable table(ColdServers.Bound bound) {
		return new BackendTable(this.clock, new Random(1), "dc", () -> 1, new ColdServers(bound,
				(service) -> this.coldPerSecond, () -> new ColdShare.Fleet("g", 1, Set.of()), this.clock.nowMillis()));
	}

	@BeforeEach
	void runForSomeSeconds() {
		advance(5000);
	}

	private void advance(long millis) {
		for (long passed = 0; passed < millis; passed += 50) {
			this.clock.advance(50);
			this.table.refreshCold();
		}
	}

	private static BackendEntry entry(long coldMillis, long sequence) {
		return new BackendEntry("a", 7, "s", "10.0.0.1", 80, "dc", 100, false, coldMillis, sequence);
	}

	private static void register(BackendTable table, BackendEntry... servers) {
		table.update(new Registry(EraRevision.ofLong(1),
				(servers.length == 0) ? Map.of() : Map.of(servers[0].id(), servers[0])));
	}

	private static int sendAll(BackendTable table, ManualClock clock) {
		int sent = 0;
		while (sent < 90 && table.choose(new ServerRequirements("s", Set.of(), 0, null, 0)).isPresent()) {
			table.find("a").orElseThrow().onSent(clock.nowMillis());
			sent++;
		}
		for (int i = 0; i < sent; i++) {
			table.find("a").orElseThrow().onInconclusiveEnd();
		}
		return sent;
	}

	private int sendAll() {
		return sendAll(this.table, this.clock);
	}

	@Test
	void coldServerGetsNoMoreThanTheShareUntilItIsWarm() {
		register(this.table, entry(3000, 1));
		assertThat(sendAll()).isEqualTo(SHARE);
		advance(1000);
		assertThat(sendAll()).isZero();
		advance(200);
		assertThat(sendAll()).isEqualTo(SHARE);
		advance(2000);
		assertThat(sendAll()).isEqualTo(90);
		assertThat(this.table.coldWithheldCount()).isPositive();
	}

	@Test
	void serverIsServedAsBeforeIfItsServiceNamesNoRateOrTheFeatureIsOff() {
		this.coldPerSecond = 0;
		register(this.table, entry(3000, 1));
		assertThat(sendAll()).isEqualTo(90);
		this.coldPerSecond = PER_SECOND;
		BackendTable off = table(new ColdServers.Bound(0, 0));
		register(off, entry(3000, 1));
		assertThat(sendAll(off, this.clock)).isEqualTo(90);
	}

	@Test
	void sendsBeforeTheServerTurnedColdAndBeforeItsEntryWasRemovedCount() {
		register(this.table, entry(0, 0));
		assertThat(sendAll()).isEqualTo(90);
		register(this.table);
		register(this.table, entry(3000, 9));
		assertThat(sendAll()).isZero();
	}

	@Test
	void repeatedEntryDoesNotProlongTheColdTimeAndOneThatIsWrittenAgainDoes() {
		register(this.table, entry(1000, 1));
		advance(900);
		register(this.table, entry(1000, 1));
		advance(100);
		assertThat(this.table.refreshCold()).isZero();
		register(this.table, entry(1000, 2));
		assertThat(this.table.refreshCold()).isEqualTo(1);
	}

	@Test
	void olderNewsDoNotEndTheColdTime() {
		register(this.table, entry(0, 0));
		Backend server = this.table.find("a").orElseThrow();
		this.table.onResponseHead(server, new ServerNotice(AnnouncedLimit.NONE, 0, false, 3000, ""),
				new BackendNotices.Source("test", true, this.clock.nowMillis()));
		register(this.table, entry(500, 1));
		advance(2900);
		assertThat(this.table.refreshCold()).isEqualTo(1);
		advance(100);
		assertThat(this.table.refreshCold()).isZero();
	}

	@Test
	void gatewayThatWasFrozenSendsNothingToColdServersAtFirst() {
		register(this.table, entry(30_000, 1));
		this.clock.advance(2000);
		assertThat(sendAll()).isZero();
		advance(3900);
		assertThat(sendAll()).isZero();
		advance(200);
		assertThat(sendAll()).isEqualTo(SHARE);
	}

	@Test
	void registryOfPeerWithoutColdTimesNamesNone() throws IOException {
		Registry registry = new Registry(EraRevision.ofLong(1), Map.of("a", entry(3000, 4)));
		String json = Json.MAPPER.writeValueAsString(registry);
		assertThat(Json.MAPPER.readValue(json, Registry.class)).isEqualTo(registry);
		String older = json.replace(",\"coldMillis\":3000", "").replace(",\"coldSequence\":4", "");
		assertThat(older).doesNotContain("cold");
		assertThat(Json.MAPPER.readValue(older, Registry.class).servers()).containsEntry("a", entry(0, 0));
	}

}
