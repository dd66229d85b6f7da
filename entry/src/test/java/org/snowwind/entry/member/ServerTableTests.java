package org.snowwind.entry.member;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.snowwind.config.snapshot.ResourceSet;
import org.snowwind.config.snapshot.Snapshot;
import org.snowwind.decide.silence.AttentiveTime;
import org.snowwind.model.EraRevision;
import org.snowwind.model.ManualClock;
import org.snowwind.model.resource.BackendServerSpec;
import org.snowwind.model.resource.Resource;
import org.snowwind.model.resource.ResourceKey;
import org.snowwind.model.resource.ResourceKind;
import org.snowwind.model.resource.RoutingPolicySpec.Choice;
import org.snowwind.wire.generated.AgentReport;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ServerTable}.
 */
class ServerTableTests {

	private static final long SUSPECT_AFTER_MILLIS = 1500;

	private static final long HEARTBEAT_MILLIS = 500;

	private final ManualClock clock = new ManualClock(10_000);

	private final ServerTable table = new ServerTable("casa", this.clock, new Random(1), SUSPECT_AFTER_MILLIS);

	private final AtomicInteger lost = new AtomicInteger();

	@BeforeEach
	void sendToBothServers() {
		BackendServerSpec spec = new BackendServerSpec("casa", "10.0.0.1:1", "10.0.0.1:2", List.of("desk"), null);
		List<Resource> resources = List.of(resource("a", spec), resource("b", spec));
		this.table.use(new Snapshot(EraRevision.ofLong(1), ResourceSet.of(resources), ResourceSet.EMPTY, Map.of()));
		this.table.attentive().tick(this.clock.nowMillis());
		hear("a");
		hear("b");
		for (Set<String> excluded : List.of(Set.of("a"), Set.of("b"))) {
			Optional<Server> server = this.table.choose("desk", Choice.ROUND_ROBIN, 0, excluded);
			server.orElseThrow().sent(this.lost::incrementAndGet);
		}
	}

	private static Resource resource(String name, BackendServerSpec spec) {
		return new Resource(new ResourceKey(ResourceKind.BACKEND_SERVER, name), 1, EraRevision.ofLong(1), spec);
	}

	private void hear(String name) {
		AgentReport report = new AgentReport();
		report.setAgentName(name);
		report.setIncarnation(1);
		report.setConcurrencyLimit(8);
		this.table.heard(name, report);
	}

	private void run(long runMillis) {
		for (long ranMillis = 0; ranMillis < runMillis; ranMillis += AttentiveTime.TICK_MILLIS) {
			this.clock.advance(AttentiveTime.TICK_MILLIS);
			this.table.attentive().tick(this.clock.nowMillis());
		}
	}

	@Test
	void serversAreNotSuspectedAfterAPauseOfThisProcess() {
		run(HEARTBEAT_MILLIS);
		this.clock.advance(60_000);
		this.table.suspectSilent();
		this.table.attentive().tick(this.clock.nowMillis());
		assertThat(this.table.answering()).containsExactlyInAnyOrder("a", "b");
		assertThat(this.lost).as("attempts that were told that their server is lost").hasValue(0);
	}

	@Test
	void serverThatIsSilentWhileThisProcessRunsIsSuspected() {
		run(SUSPECT_AFTER_MILLIS);
		hear("b");
		run(AttentiveTime.TICK_MILLIS);
		this.table.suspectSilent();
		assertThat(this.table.answering()).containsExactly("b");
		assertThat(this.lost).hasValue(1);
	}

	@Test
	void serverThatStaysSilentAfterAPauseOfThisProcessIsSuspected() {
		run(HEARTBEAT_MILLIS);
		this.clock.advance(60_000);
		this.table.attentive().tick(this.clock.nowMillis());
		hear("b");
		run(SUSPECT_AFTER_MILLIS - HEARTBEAT_MILLIS);
		this.table.suspectSilent();
		assertThat(this.table.answering()).containsExactly("b");
	}

}
