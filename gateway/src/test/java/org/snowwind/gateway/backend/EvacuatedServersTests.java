package org.snowwind.gateway.backend;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.snowwind.gateway.registry.BackendEntry;
import org.snowwind.gateway.registry.BackendIncarnation;
import org.snowwind.gateway.registry.Registry;
import org.snowwind.gateway.table.EngineProfile;
import org.snowwind.model.EraRevision;
import org.snowwind.model.ManualClock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for the choice of servers while data centres are evacuated.
 */
class EvacuatedServersTests {

	private static final EngineProfile ENGINE = new EngineProfile(4, 0, 5, 4.0, 1.0, 0, 70_000, 1, 8, 2, 1, 1, 1000,
			0.8);

	private static final Set<String> NONE = Set.of();

	private final ManualClock clock = new ManualClock(10_000);

	private final BackendTable table = new BackendTable(this.clock, new Random(1), "dc0", () -> 3);

	private final Admission admission = new Admission(this.table, this.clock);

	private long revision = 1;

	@BeforeEach
	void registerServers() {
		register(2);
	}

	private void register(int perDataCentre) {
		Map<String, BackendEntry> entries = new HashMap<>();
		for (int i = 0; i < 2 * perDataCentre; i++) {
			entries.put("r" + i, new BackendEntry("r" + i, BackendIncarnation.UNKNOWN, "s", "10.0.0.1", 80 + i,
					"dc" + i % 2, ENGINE.slots(), false));
		}
		this.table.update(new Registry(EraRevision.ofLong(this.revision++), entries));
		entries.keySet().forEach((id) -> this.table.recordGroup(BackendIncarnation.of(id), "g"));
	}

	private Set<String> chosenDataCentres(Set<String> tried, int draws) {
		Map<String, Integer> counts = countDataCentres(tried, draws);
		return counts.keySet();
	}

	private Map<String, Integer> countDataCentres(Set<String> tried, int draws) {
		Map<String, Integer> counts = new HashMap<>();
		for (int i = 0; i < draws; i++) {
			this.table.choose(new ServerRequirements("s", tried, 0, ENGINE, 120))
				.ifPresent((backend) -> counts.merge(backend.entry().dataCentre(), 1, Integer::sum));
		}
		return counts;
	}

	private Admission.Verdict decide(boolean alreadyWaiting) {
		return this.admission
			.decide(new Arrival("s", NONE, 0, ENGINE, 400, 120, this.clock.nowMillis(), alreadyWaiting));
	}

	@Test
	void evacuatedServersGetNoRequestsAndNoRetries() {
		this.table.evacuate(Set.of("dc1"));
		assertThat(chosenDataCentres(NONE, 100)).containsExactly("dc0");
		assertThat(chosenDataCentres(Set.of("r0", "r2"), 100)).as("only evacuated servers are untried").isEmpty();
		assertThat(this.table.anyUntriedAvailable("s", Set.of("r0", "r2"))).isFalse();
	}

	@Test
	void serverThatRegistersDuringAnEvacuationGetsNoRequests() {
		this.table.evacuate(Set.of("dc1"));
		register(4);
		assertThat(chosenDataCentres(NONE, 100)).containsExactly("dc0");
	}

	@Test
	void evacuatedServersStayInTheirGroupAndCountNoRoom() {
		Backend evacuated = this.table.find("r1").orElseThrow();
		evacuated.onSent(this.clock.nowMillis());
		this.table.evacuate(Set.of("dc1"));
		GroupLoad group = evacuated.group();
		assertThat(group.load()).as("it runs in each pass").isEqualTo(1);
		assertThat(group.limit(120, ENGINE, this.clock.nowMillis()))
			.as("slots of two ranks, and the request on the other")
			.isEqualTo(2 * ENGINE.slots() + 1);
	}

	@Test
	void requestIsRejectedAtOnceIfAllServersAreEvacuated() {
		this.table.evacuate(Set.of("dc0", "dc1"));
		assertThat(decide(false)).isInstanceOf(Admission.Verdict.Reject.class);
		assertThat(decide(true)).as("one that waits").isInstanceOf(Admission.Verdict.Reject.class);
		assertThat(this.table.anyTakesNewWork("s")).isFalse();
		assertThat(this.table.anyInService(Set.of("s"))).as("the gateway stays ready").isTrue();
	}

	@Test
	void evacuationsOfTwoDataCentresEndOneByOne() {
		this.table.evacuate(Set.of("dc0", "dc1"));
		this.table.evacuate(Set.of("dc0"));
		assertThat(chosenDataCentres(NONE, 50)).containsExactly("dc1");
		this.table.evacuate(Set.of());
		this.clock.advance(3000);
		assertThat(chosenDataCentres(NONE, 50)).containsExactlyInAnyOrder("dc0", "dc1");
	}

	@Test
	void returningServersGetARisingShare() {
		this.table.evacuate(Set.of("dc0"));
		this.table.evacuate(Set.of());
		int first = countDataCentres(NONE, 1000).getOrDefault("dc0", 0);
		this.clock.advance(750);
		int later = countDataCentres(NONE, 1000).getOrDefault("dc0", 0);
		this.clock.advance(750);
		int last = countDataCentres(NONE, 1000).getOrDefault("dc0", 0);
		assertThat(first).isLessThan(600);
		assertThat(later).isBetween(first, last);
		assertThat(last).as("four fifths go to the own data centre").isGreaterThan(700);
	}

	@Test
	void drainingServerOfAnEvacuatedDataCentreDoesNotComeBackWithIt() {
		this.table.find("r1").orElseThrow().onReplaced();
		this.table.evacuate(Set.of("dc1"));
		this.table.evacuate(Set.of());
		assertThat(this.table.find("r1").orElseThrow().takesNewWork()).isFalse();
	}

	@Test
	void requestsAtServersOfUnheardPeersDoNotCloseAGroupThatIsEvacuatedInPart() {
		Backend evacuated = this.table.find("r1").orElseThrow();
		evacuated.onSent(this.clock.nowMillis());
		this.table.evacuate(Set.of("dc1"));
		this.table.updatePeersInFlight(Map.of(), 4);
		GroupLoad group = evacuated.group();
		assertThat(group.load()).isEqualTo(4);
		assertThat(group.limit(120, ENGINE, this.clock.nowMillis())).isEqualTo(2 * ENGINE.slots() + 4);
	}

}
