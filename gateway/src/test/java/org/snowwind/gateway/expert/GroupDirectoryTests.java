package org.snowwind.gateway.expert;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.JsonNode;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.snowwind.gateway.limit.ServerCalls;
import org.snowwind.gateway.registry.BackendEntry;
import org.snowwind.gateway.registry.BackendIncarnation;
import org.snowwind.http.DataLoop;
import org.snowwind.http.client.JsonClient;
import org.snowwind.http.server.HttpLimits;
import org.snowwind.http.server.HttpServer;
import org.snowwind.model.EraRevision;
import org.snowwind.model.ManualClock;
import org.snowwind.store.GetResult;
import org.snowwind.store.ListResult;
import org.snowwind.store.ObjectStore;
import org.snowwind.store.StoredObject;
import org.snowwind.store.WatchResult;
import org.snowwind.store.WriteResult;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link GroupDirectory}: how often servers are asked which group they are in.
 */
class GroupDirectoryTests {

	private static final int SERVERS = 12;

	private static final int GATEWAYS = 7;

	private final DataLoop loop = new DataLoop("ranks");

	private final AtomicInteger asked = new AtomicInteger();

	private final HttpServer ranks = new HttpServer(this.loop, HttpLimits.DEFAULT, (exchange) -> {
		this.asked.incrementAndGet();
		exchange.respond(200, Map.of("Content-Type", "application/json"),
				"{\"step\":1}".getBytes(StandardCharsets.UTF_8));
	});

	private final JsonClient client = new JsonClient(Map.of(), 500);

	private final ManualClock clock = new ManualClock(0);

	private Map<String, Double> limits = Map.of();

	private final Map<String, Long> backoffs = new HashMap<>();

	private final OneObjectStore store = new OneObjectStore();

	private final List<BackendEntry> servers = new ArrayList<>();

	private final Map<BackendIncarnation, String> found = new HashMap<>();

	GroupDirectoryTests() {
		InetSocketAddress address = this.ranks.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
		for (int i = 0; i < SERVERS; i++) {
			this.servers.add(server(i, 1000, address.getPort()));
		}
	}

	private static BackendEntry server(int i, long bornMillis, int port) {
		return new BackendEntry("r" + i, bornMillis, "s", "127.0.0.1", port, "dc", 4, false);
	}

	@AfterEach
	void close() {
		this.ranks.close();
		this.client.close();
		this.loop.close();
	}

	private GroupDirectory directory(boolean planning) {
		return new GroupDirectory(this.client, new FakeRankProtocol(), new ServerCalls(new SimpleMeterRegistry(),
				new ServerCalls.Restrictions(() -> this.limits, () -> this.backoffs), (run, notice, sentMillis) -> {
				}, this.clock), this.store,
				new GroupDirectory.Sources(
						() -> this.servers.stream()
							.filter((one) -> !this.found.containsKey(one.incarnation()))
							.toList(),
						() -> Set.copyOf(this.servers.stream().map(BackendEntry::incarnation).toList()),
						() -> planning),
				this.found::put, this.clock);
	}

	private void startAll(int planners) {
		for (int gateway = 0; gateway < GATEWAYS; gateway++) {
			this.found.clear();
			GroupDirectory directory = directory(gateway < planners);
			directory.round();
			assertThat(this.found).hasSize(SERVERS);
		}
	}

	@Test
	void whenAllGatewaysStartEachServerIsAskedOnce() {
		startAll(1);
		assertThat(this.asked).as("84 before, as each gateway asked for itself").hasValue(SERVERS);
		startAll(0);
		assertThat(this.asked).as("after a start of all of them").hasValue(SERVERS);
	}

	@Test
	void whatNobodyWritesDownIsAskedAfterAMomentAndThenSeldom() {
		GroupDirectory directory = directory(false);
		directory.round();
		assertThat(this.asked).hasValue(0);
		this.clock.advance(2500);
		directory.round();
		assertThat(this.asked).hasValue(SERVERS);
		this.found.clear();
		this.clock.advance(500);
		directory.round();
		assertThat(this.asked).hasValue(SERVERS);
	}

	@Test
	void anotherLifeOfAServerIsAskedAnew() {
		directory(true).round();
		this.servers.set(0, server(0, 2000, this.servers.get(0).port()));
		directory(true).round();
		assertThat(this.asked).hasValue(SERVERS + 1);
	}

	@Test
	void withoutThePlatformEachAsksForItself() {
		this.store.away = true;
		GroupDirectory directory = directory(false);
		directory.round();
		this.clock.advance(2500);
		directory.round();
		assertThat(this.found).hasSize(SERVERS);
	}

	@Test
	void aServerThatTakesALimitedRateIsAskedNoMoreThanItBears() {
		this.store.away = true;
		this.limits = Map.of("r0", 0.0, "r1", 2.0);
		GroupDirectory directory = directory(true);
		for (int round = 0; round < 10; round++) {
			this.found.clear();
			directory.round();
		}
		assertThat(this.asked).as("three and five questions to the limited ones").hasValue(10 * (SERVERS - 2) + 8);
		this.clock.advance(4000);
		directory.round();
		assertThat(this.found).containsKey(this.servers.get(0).incarnation());
	}

	/**
	 * A store of one object.
	 */
	private static final class OneObjectStore implements ObjectStore {

		private StoredObject object;

		private boolean away;

		@Override
		public GetResult get(String key) {
			if (this.away) {
				return new GetResult.Away("away");
			}
			return (this.object != null) ? new GetResult.Found(this.object) : new GetResult.Absent();
		}

		@Override
		public WriteResult put(String key, EraRevision expectedRevision, JsonNode value) {
			EraRevision written = new EraRevision(expectedRevision.era(), expectedRevision.number() + 1);
			this.object = new StoredObject(key, written, value);
			return new WriteResult.Written(written);
		}

		@Override
		public ListResult list(String prefix) {
			throw new UnsupportedOperationException();
		}

		@Override
		public WriteResult delete(String key, EraRevision expectedRevision) {
			throw new UnsupportedOperationException();
		}

		@Override
		public WatchResult watch(String prefix, EraRevision afterRevision, long waitMillis) {
			throw new UnsupportedOperationException();
		}

	}

}
