package org.snowwind.gateway.backend;

import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.snowwind.gateway.registry.BackendEntry;
import org.snowwind.gateway.registry.Registry;
import org.snowwind.model.ManualClock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link BackendTable} and {@link Backend}.
 */
class BackendTableTests {

	private static final Set<String> NONE = Set.of();

	private final ManualClock clock = new ManualClock(10_000);

	private final BackendTable table = new BackendTable(this.clock, new Random(1));

	private static BackendEntry server(String id, boolean draining) {
		return new BackendEntry(id, "s", "10.0.0.1", 80, "dc", 2, draining);
	}

	private void registered(BackendEntry... servers) {
		this.table
			.use(new Registry(1, Stream.of(servers).collect(Collectors.toMap(BackendEntry::id, (server) -> server))));
	}

	private String choose(Set<String> tried) {
		return this.table.choose(new Wanted("s", tried, 0, null, 0, false)).map(Backend::id).orElse("none");
	}

	private Backend server(String id) {
		return this.table.find(id).orElseThrow();
	}

	@Test
	void theLeastFullServerIsChosen() {
		registered(server("a", false), server("b", false));
		server("a").sent();
		assertThat(choose(NONE)).isEqualTo("b");
		this.table.peersInFlight(Map.of("b", 2));
		assertThat(choose(NONE)).isEqualTo("a");
	}

	@Test
	void aFullServerIsNotChosen() {
		registered(server("a", false));
		server("a").sent();
		server("a").sent();
		assertThat(choose(NONE)).isEqualTo("none");
		assertThat(this.table.choose(new Wanted("s", NONE, 1, null, 0, false))).isPresent();
	}

	@Test
	void aLeavingServerGetsNothingNewWhoeverToldOfIt() {
		registered(server("a", true), server("b", false), server("c", false));
		server("b").refusesNewWork();
		assertThat(choose(NONE)).isEqualTo("c");
		assertThat(choose(Set.of("c"))).isEqualTo("none");
	}

	@Test
	void aServerThatIsNoLongerRegisteredGetsNothing() {
		registered(server("a", false));
		Backend kept = server("a");
		registered(server("b", false));
		assertThat(kept.takesNewWork()).isFalse();
		assertThat(choose(NONE)).isEqualTo("b");
	}

	@Test
	void aFailingServerIsLeftOutForAWhile() {
		registered(server("a", false), server("b", false));
		for (int i = 0; i < 2; i++) {
			server("a").sent();
			server("a").failed(this.clock.nowMillis());
		}
		server("b").sent();
		assertThat(choose(NONE)).isEqualTo("b");
		this.clock.advance(10_000);
		assertThat(choose(NONE)).isEqualTo("a");
	}

	@Test
	void anEjectedServerIsBetterThanNone() {
		registered(server("a", false));
		for (int i = 0; i < 4; i++) {
			server("a").sent();
			server("a").failed(this.clock.nowMillis());
		}
		assertThat(choose(NONE)).isEqualTo("a");
	}

}
