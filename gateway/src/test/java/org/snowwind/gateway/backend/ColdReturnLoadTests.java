package org.snowwind.gateway.backend;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.snowwind.decide.limit.ColdShare;
import org.snowwind.gateway.registry.BackendEntry;
import org.snowwind.gateway.registry.Registry;
import org.snowwind.gateway.table.EngineProfile;
import org.snowwind.model.EraRevision;
import org.snowwind.model.ManualClock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Simulates the return of a third of the ranks, cold and empty, while the others are
 * full, and checks what callers and cold ranks get.
 */
class ColdReturnLoadTests {

	private static final int GATEWAYS = 37;

	private static final int SERVERS = 63;

	private static final int RETURNING = 21;

	private static final int SLOTS = 10;

	private static final double WORK_MILLIS = 400;

	private static final double PER_SECOND = 26;

	private static final double BOUND = 44;

	/** The share of callers that the bound may make late. */
	private static final double MAX_COST = 0.01;

	private static final long COLD_MILLIS = 3000;

	private static final long RETURN_MILLIS = 8000;

	private static final EngineProfile ENGINE = new EngineProfile(SLOTS, 300_000, 6, 5, 0.5, 0.01, 70_000, 6, 64, 11, 4,
			1700, 92_000, 0.85);

	@ParameterizedTest
	@ValueSource(longs = { 100, 200, 300 })
	void returningRanksStayWithinTheirBoundAndCallersAreServedBetterThanBefore(long reportMillis) {
		Simulation simulation = new Simulation(reportMillis, 1.5);
		Outcome before = simulation.runUntilReturn();
		Outcome after = simulation.runWhileCold();
		assertThat(after.maxInSecond()).isLessThanOrEqualTo((int) BOUND);
		assertThat(after.rejected()).isZero();
		assertThat(after.onTimeShare()).as("before " + before + ", after " + after)
			.isGreaterThanOrEqualTo(before.onTimeShare());
	}

	@ParameterizedTest
	@ValueSource(longs = { 100, 200, 300 })
	void boundMakesFewCallersLate(long reportMillis) {
		Simulation bounded = new Simulation(reportMillis, 1.5);
		bounded.runUntilReturn();
		Simulation unbounded = new Simulation(reportMillis, 0);
		unbounded.runUntilReturn();
		assertThat(bounded.runWhileCold().onTimeShare())
			.isGreaterThanOrEqualTo(unbounded.runWhileCold().onTimeShare() - MAX_COST);
	}

	@Test
	void returningRanksGetTooMuchWithoutTheirBound() {
		Simulation simulation = new Simulation(300, 0);
		simulation.runUntilReturn();
		assertThat(simulation.runWhileCold().maxInSecond()).isGreaterThan((int) BOUND);
	}

	private record Outcome(int onTime, int late, int rejected, int maxInSecond) {

		private double onTimeShare() {
			return (double) this.onTime / (this.onTime + this.late + this.rejected);
		}

	}

	private record Call(int gateway, long arrivedMillis) {

	}

	private record End(long atMillis, Backend backend) {

	}

	private static final class Simulation {

		private final ManualClock clock = new ManualClock(100_000);

		private final Random random = new Random(1);

		private final long reportMillis;

		private final List<BackendTable> tables = new ArrayList<>();

		private final List<Admission> admissions = new ArrayList<>();

		private final Map<String, Deque<Long>> sent = new HashMap<>();

		private final Map<String, PriorityQueue<Long>> slots = new HashMap<>();

		private final PriorityQueue<End> ends = new PriorityQueue<>(
				(left, right) -> Long.compare(left.atMillis(), right.atMillis()));

		private List<Call> waiting = new ArrayList<>();

		private double nextMillis = this.clock.nowMillis();

		private int onTime;

		private int late;

		private int rejected;

		private int maxInSecond;

		private Simulation(long reportMillis, double over) {
			this.reportMillis = reportMillis;
			Set<String> names = IntStream.range(0, GATEWAYS).mapToObj((i) -> "g" + i).collect(Collectors.toSet());
			for (int i = 0; i < GATEWAYS; i++) {
				String own = "g" + i;
				Set<String> others = names.stream()
					.filter((name) -> !name.equals(own))
					.collect(Collectors.toUnmodifiableSet());
				BackendTable table = new BackendTable(this.clock, new Random(i), "dc", () -> GATEWAYS,
						new ColdServers(new ColdServers.Bound(over, 5), (service) -> PER_SECOND,
								() -> new ColdShare.Fleet(own, GATEWAYS, others), this.clock.nowMillis()));
				this.tables.add(table);
				this.admissions.add(new Admission(table, this.clock));
			}
		}

		private void register(int from) {
			Map<String, BackendEntry> entries = IntStream.range(from, SERVERS)
				.mapToObj((i) -> new BackendEntry("r" + i, 7, "s", "10.0.0.1", 80 + i, "dc", SLOTS, false,
						(i < RETURNING) ? COLD_MILLIS : 0, (i < RETURNING) ? 1 : 0))
				.collect(Collectors.toMap(BackendEntry::id, (entry) -> entry));
			this.tables.forEach((table) -> table.update(new Registry(EraRevision.ofLong(SERVERS - from), entries)));
		}

		private Outcome runUntilReturn() {
			register(RETURNING);
			run(RETURN_MILLIS - COLD_MILLIS);
			return run(COLD_MILLIS);
		}

		private Outcome runWhileCold() {
			register(0);
			return run(COLD_MILLIS);
		}

		private Outcome run(long lengthMillis) {
			this.onTime = 0;
			this.late = 0;
			this.rejected = 0;
			// The ranks that stay can just serve all callers.
			double perMilli = (SERVERS - RETURNING) * SLOTS / WORK_MILLIS;
			long endMillis = this.clock.nowMillis() + lengthMillis;
			for (; this.clock.nowMillis() < endMillis; this.clock.advance(1)) {
				long ms = this.clock.nowMillis();
				if (ms % 50 == 0) {
					this.tables.forEach(BackendTable::refreshCold);
				}
				if (ms % this.reportMillis == 0) {
					exchangeReports();
				}
				while (!this.ends.isEmpty() && this.ends.peek().atMillis() <= this.clock.nowMillis()) {
					this.ends.poll().backend().onInconclusiveEnd();
				}
				if (ms % 10 == 0) {
					List<Call> retried = this.waiting;
					this.waiting = new ArrayList<>();
					retried.forEach((call) -> dispatch(call, true));
				}
				for (; this.nextMillis <= ms; this.nextMillis -= Math.log(1 - this.random.nextDouble()) / perMilli) {
					dispatch(new Call(this.random.nextInt(GATEWAYS), this.clock.nowMillis()), false);
				}
			}
			return new Outcome(this.onTime, this.late, this.rejected, this.maxInSecond);
		}

		private void exchangeReports() {
			Map<String, Integer> all = new HashMap<>();
			this.tables.forEach((table) -> table.inFlight().forEach((id, count) -> all.merge(id, count, Integer::sum)));
			for (BackendTable table : this.tables) {
				Map<String, Integer> others = new HashMap<>(all);
				table.inFlight().forEach((id, count) -> others.merge(id, -count, Integer::sum));
				table.updatePeersInFlight(others, 1);
			}
		}

		private void dispatch(Call call, boolean waited) {
			Admission.Verdict verdict = this.admissions.get(call.gateway())
				.decide(new Arrival("s", Set.of(), 0, ENGINE, 500, 120, call.arrivedMillis(), waited));
			if (verdict instanceof Admission.Verdict.Send send) {
				send(call, send.backend());
			}
			else if (verdict instanceof Admission.Verdict.Wait) {
				this.waiting.add(call);
			}
			else {
				this.rejected++;
			}
		}

		private void send(Call call, Backend backend) {
			long nowMillis = this.clock.nowMillis();
			backend.onSent(nowMillis);
			if (Integer.parseInt(backend.id().substring(1)) < RETURNING) {
				Deque<Long> times = this.sent.computeIfAbsent(backend.id(), (id) -> new ArrayDeque<>());
				times.addLast(nowMillis);
				while (times.peekFirst() <= nowMillis - 1000) {
					times.removeFirst();
				}
				this.maxInSecond = Math.max(this.maxInSecond, times.size());
			}
			PriorityQueue<Long> busy = this.slots.computeIfAbsent(backend.id(), (id) -> new PriorityQueue<>());
			while (!busy.isEmpty() && busy.peek() <= nowMillis) {
				busy.remove();
			}
			long beginMillis = (busy.size() < SLOTS) ? nowMillis : busy.remove();
			long workMillis = 1 + (long) (-WORK_MILLIS * Math.log(1 - this.random.nextDouble()));
			busy.add(beginMillis + workMillis);
			this.ends.add(new End(beginMillis + workMillis, backend));
			if (beginMillis - call.arrivedMillis() <= 500) {
				this.onTime++;
			}
			else {
				this.late++;
			}
		}

	}

}
