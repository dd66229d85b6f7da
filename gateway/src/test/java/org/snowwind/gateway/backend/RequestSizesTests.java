package org.snowwind.gateway.backend;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.snowwind.decide.choice.MemoryNeed;
import org.snowwind.gateway.registry.BackendEntry;
import org.snowwind.gateway.registry.BackendIncarnation;
import org.snowwind.gateway.registry.Registry;
import org.snowwind.gateway.table.EngineProfile;
import org.snowwind.model.EraRevision;
import org.snowwind.model.ManualClock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link RequestSizes} and the choice of servers by their memory.
 */
class RequestSizesTests {

	private static final int SLOTS = 10;

	private static final long MEMORY_TOKENS = 100_000;

	private static final EngineProfile ENGINE = engine(MEMORY_TOKENS);

	private final RequestSizes sizes = new RequestSizes(true);

	private final ManualClock clock = new ManualClock(10_000);

	private final BackendTable table = new BackendTable(this.clock, new Random(1), "dc", () -> 1);

	private static EngineProfile engine(long memoryTokens) {
		return new EngineProfile(SLOTS, memoryTokens, 6, 5, 0.5, 0.01, 70_000, 0, 0, 0, 0, 0, 0, 0);
	}

	private void register(int servers) {
		Map<String, BackendEntry> entries = new HashMap<>();
		for (int i = 0; i < servers; i++) {
			String id = "r" + i;
			entries.put(id, new BackendEntry(id, BackendIncarnation.UNKNOWN, "s", "10.0.0.1", 80, "dc", SLOTS, false));
		}
		this.table.update(new Registry(EraRevision.ofLong(1), entries));
	}

	private MemoryNeed arrive(int promptTokens, int maxOutputTokens) {
		return this.sizes.recordArrival("s", ENGINE, promptTokens, maxOutputTokens);
	}

	private Optional<Backend> choose(MemoryNeed need) {
		return this.table.choose(new ServerRequirements("s", Set.of(), 0, ENGINE, 0, need));
	}

	@Test
	void sizeIsPromptAndOutput() {
		assertThat(arrive(3000, 500).tokens()).isEqualTo(3500);
	}

	@Test
	void firstRequestWithoutNumbersCountsAsOneOfAFullServer() {
		assertThat(arrive(0, 0).tokens()).isEqualTo(MEMORY_TOKENS / SLOTS);
	}

	@Test
	void requestWithoutNumbersCountsAsTheUsualOne() {
		arrive(3000, 1000);
		assertThat(arrive(0, 0).tokens()).isEqualTo(4000);
		assertThat(arrive(-7, -1).tokens()).isEqualTo(4000);
	}

	@Test
	void requestWithOneNumberCountsAtLeastAsTheUsualOne() {
		arrive(3000, 1000);
		assertThat(arrive(100, 0).tokens()).isEqualTo(4000);
		assertThat(arrive(9000, 0).tokens()).isEqualTo(9000);
	}

	@Test
	void absurdSizeIsNotUsual() {
		arrive(3000, 1000);
		assertThat(arrive(Integer.MAX_VALUE, Integer.MAX_VALUE).exceedsServer()).isTrue();
		assertThat(arrive(0, 0).tokens()).isEqualTo(4000);
	}

	@Test
	void usualSizeFollowsTheLoad() {
		arrive(100, 100);
		for (int i = 0; i < 100; i++) {
			arrive(4000, 1000);
		}
		assertThat(arrive(0, 0).tokens()).isBetween(4900L, 5000L);
	}

	@Test
	void nothingIsCheckedWithoutTheFeatureOrTheMemoryOfAServer() {
		assertThat(new RequestSizes(false).recordArrival("s", ENGINE, 1_000_000, 1)).isEqualTo(MemoryNeed.UNCHECKED);
		assertThat(this.sizes.recordArrival("s", null, 1_000_000, 1)).isEqualTo(MemoryNeed.UNCHECKED);
		assertThat(this.sizes.recordArrival("s", engine(0), 1_000_000, 1)).isEqualTo(MemoryNeed.UNCHECKED);
	}

	@Test
	void serverWithFreeSlotsAndNoMemoryIsLeftOut() {
		register(2);
		this.table.find("r0").orElseThrow().addHeldTokens(50_000);
		assertThat(choose(arrive(60_000, 1000)).map(Backend::id)).contains("r1");
		assertThat(this.table.memoryShortage().count()).isPositive();
		this.table.find("r1").orElseThrow().addHeldTokens(50_000);
		assertThat(choose(arrive(60_000, 1000))).isEmpty();
	}

	@Test
	void requestsOfPeersFillMemory() {
		register(1);
		arrive(20_000, 0);
		MemoryNeed need = arrive(15_000, 5000);
		this.table.updatePeersInFlight(Map.of("r0", 3), 1);
		assertThat(choose(need)).isPresent();
		this.table.updatePeersInFlight(Map.of("r0", 4), 1);
		assertThat(choose(need)).isEmpty();
	}

	@Test
	void serversStayWithinTheirMemoryUnderRequestsOfUnlikeSize() {
		register(8);
		Random random = new Random(3);
		Map<Backend, Deque<Long>> held = new HashMap<>();
		int sent = 0;
		for (int i = 0; i < 20_000; i++) {
			boolean large = random.nextInt(10) == 0;
			MemoryNeed need = arrive(large ? 30_000 + random.nextInt(40_000) : 200 + random.nextInt(4000), 1000);
			Optional<Backend> chosen = choose(need);
			if (chosen.isPresent()) {
				sent++;
				chosen.get().onSent(this.clock.nowMillis());
				chosen.get().addHeldTokens(need.tokens());
				held.computeIfAbsent(chosen.get(), (backend) -> new ArrayDeque<>()).add(need.tokens());
				assertThat(chosen.get().heldTokens()).isLessThanOrEqualTo(MEMORY_TOKENS);
			}
			held.forEach((backend, tokens) -> {
				if (!tokens.isEmpty() && random.nextInt(9) == 0) {
					backend.addHeldTokens(-tokens.remove());
					backend.onInconclusiveEnd();
				}
			});
		}
		assertThat(sent).isGreaterThan(10_000);
	}

}
