package org.snowwind.gateway.backend;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.snowwind.decide.limit.AnnouncedLimit;
import org.snowwind.decide.notice.RampUp;
import org.snowwind.decide.notice.ServerNotice;
import org.snowwind.gateway.registry.BackendEntry;
import org.snowwind.gateway.registry.BackendIncarnation;
import org.snowwind.gateway.registry.Registry;
import org.snowwind.model.EraRevision;
import org.snowwind.model.ManualClock;

/**
 * Simulates, in virtual time, servers that reject all requests for a second, and the
 * decisions of several gateways that use these servers again. The gateways receive
 * delayed reports from each other.
 */
final class ReturnModel {

	private static final String SERVICE = "s";

	private static final int SLOTS = 8;

	private static final int QUEUE = 24;

	private static final long RETRY_AFTER_MILLIS = 3000;

	private static final long NETWORK_MILLIS = 2;

	private static final long RETRY_MILLIS = 10;

	private static final long TARGET_MILLIS = 500;

	private static final int MAX_QUEUED_AT_SERVER = 6;

	private static final int MAX_SENDS = 5;

	private static final long OVERLOAD_MILLIS = 1000;

	private final ManualClock clock = new ManualClock(100_000);

	private final Scenario scenario;

	private final Random random;

	private final List<BackendTable> tables = new ArrayList<>();

	private final List<Admission> admissions = new ArrayList<>();

	private final List<Server> servers = new ArrayList<>();

	private List<Call> waiting = new ArrayList<>();

	private final Result result = new Result();

	ReturnModel(Scenario scenario, long seed) {
		this.scenario = scenario;
		this.random = new Random(seed);
		Map<String, BackendEntry> entries = IntStream.range(0, scenario.servers())
			.mapToObj((i) -> new BackendEntry("r" + i, BackendIncarnation.UNKNOWN, SERVICE, "10.0.0.1", 80 + i, "dc",
					SLOTS, false))
			.collect(Collectors.toMap(BackendEntry::id, (entry) -> entry));
		entries.keySet().forEach((id) -> this.servers.add(new Server(id)));
		for (int i = 0; i < scenario.gateways(); i++) {
			BackendTable table = new BackendTable(this.clock, new Random(this.random.nextLong()), "dc",
					scenario::gateways);
			table.update(new Registry(EraRevision.ofLong(1), entries));
			this.tables.add(table);
			this.admissions.add(new Admission(table, this.clock));
		}
	}

	private double perSecond() {
		return this.scenario.load() * this.scenario.servers() * SLOTS * 1000.0 / this.scenario.workMillis();
	}

	/** Runs the simulation. The overload begins after two seconds. */
	Result run(long lengthMillis) {
		double nextMillis = 0;
		for (long ms = 0; ms < lengthMillis; ms++, this.clock.advance(1)) {
			if (ms % this.scenario.reportMillis() == 0) {
				exchangeReports();
			}
			boolean overloaded = ms >= 2000 && ms < 2000 + OVERLOAD_MILLIS;
			for (int i = 0; i < this.servers.size(); i++) {
				this.servers.get(i).step(ms, overloaded && i < this.scenario.overloaded());
			}
			if (ms % RETRY_MILLIS == 0) {
				List<Call> retried = this.waiting;
				this.waiting = new ArrayList<>();
				retried.forEach(this::dispatch);
			}
			for (; nextMillis <= ms; nextMillis -= Math.log(1 - this.random.nextDouble()) * 1000 / perSecond()) {
				this.result.arrived(ms);
				dispatch(new Call(this.random.nextInt(this.tables.size()), ms, this.clock.nowMillis()));
			}
		}
		return this.result;
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

	private void dispatch(Call call) {
		Arrival arrival = new Arrival(SERVICE, call.tried, MAX_QUEUED_AT_SERVER, null, TARGET_MILLIS, 0,
				call.arrivedMillis, call.waits);
		Admission.Verdict verdict = this.admissions.get(call.gateway).decide(arrival);
		boolean waits = verdict instanceof Admission.Verdict.Wait;
		if (waits != call.waits) {
			call.waits = waits;
			this.tables.get(call.gateway).limits().changeWaiting(SERVICE, waits ? 1 : -1);
		}
		if (waits) {
			this.waiting.add(call);
		}
		else if (verdict instanceof Admission.Verdict.Send send && call.tried.size() < MAX_SENDS) {
			send(call, send.backend());
		}
	}

	private void send(Call call, Backend backend) {
		call.tried.add(backend.id());
		backend.onSent(this.clock.nowMillis());
		Server server = this.servers.stream()
			.filter((candidate) -> candidate.id.equals(backend.id()))
			.findFirst()
			.orElseThrow();
		server.arriving.add(new Work(call, backend, this.clock.nowMillis()));
	}

	private void reject(Work work, long ms) {
		this.result.rejected(ms);
		work.backend.onRejection(this.clock.nowMillis());
		ServerNotice notice = new ServerNotice(AnnouncedLimit.NONE, RETRY_AFTER_MILLIS, false, "");
		BackendNotices.Source source = new BackendNotices.Source("model", false, work.sentMillis);
		if (this.scenario.paced()) {
			this.tables.get(work.call.gateway).onResponseHead(work.backend, notice, source);
		}
		else {
			work.backend.onResponseHead(notice, source, RampUp.UNRESTRICTED, this.clock.nowMillis());
		}
		dispatch(work.call);
	}

	/**
	 * The parameters of a simulation.
	 *
	 * @param gateways the number of gateways
	 * @param servers the number of servers
	 * @param overloaded how many of the servers reject all requests for a second
	 * @param workMillis the mean time that a request runs, in milliseconds
	 * @param reportMillis the period of the reports between gateways, in milliseconds
	 * @param load the load as a fraction of the capacity of all servers
	 * @param paced whether gateways use a server again at their own pace after a backoff,
	 * rather than all at once
	 */
	record Scenario(int gateways, int servers, int overloaded, long workMillis, long reportMillis, double load,
			boolean paced) {

	}

	/**
	 * The number of events of each kind, by second.
	 */
	static final class Result {

		private final Map<Long, Integer> arrived = new HashMap<>();

		private final Map<Long, Integer> rejected = new HashMap<>();

		private final Map<Long, Integer> served = new HashMap<>();

		private void arrived(long ms) {
			this.arrived.merge(ms / 1000, 1, Integer::sum);
		}

		private void rejected(long ms) {
			this.rejected.merge(ms / 1000, 1, Integer::sum);
		}

		private void served(long ms) {
			this.served.merge(ms / 1000, 1, Integer::sum);
		}

		private static int sum(Map<Long, Integer> bySecond, long from, long until) {
			return bySecond.entrySet()
				.stream()
				.filter((entry) -> entry.getKey() >= from && entry.getKey() < until)
				.mapToInt(Map.Entry::getValue)
				.sum();
		}

		int rejectedBetween(long from, long until) {
			return sum(this.rejected, from, until);
		}

		int arrivedBetween(long from, long until) {
			return sum(this.arrived, from, until);
		}

		double servedShare(long from, long until) {
			return sum(this.served, from, until) / (double) Math.max(1, sum(this.arrived, from, until));
		}

	}

	private static final class Call {

		private final int gateway;

		private final long createdMs;

		private final long arrivedMillis;

		private final Set<String> tried = new HashSet<>();

		private boolean waits;

		private Call(int gateway, long bornMs, long arrivedMillis) {
			this.gateway = gateway;
			this.createdMs = bornMs;
			this.arrivedMillis = arrivedMillis;
		}

	}

	private record Work(Call call, Backend backend, long sentMillis) {

	}

	private final class Server {

		private final String id;

		private final Deque<Work> arriving = new ArrayDeque<>();

		private final Deque<Work> queue = new ArrayDeque<>();

		private final Map<Work, Long> running = new HashMap<>();

		private Server(String id) {
			this.id = id;
		}

		private void step(long ms, boolean overloaded) {
			long nowMillis = ReturnModel.this.clock.nowMillis();
			for (Work done : this.running.keySet().stream().filter((work) -> this.running.get(work) <= ms).toList()) {
				this.running.remove(done);
				done.backend.onAnswer(nowMillis - done.sentMillis, nowMillis);
				ReturnModel.this.result.served(done.call.createdMs);
			}
			while (!this.arriving.isEmpty() && this.arriving.peek().sentMillis + NETWORK_MILLIS <= nowMillis) {
				Work work = this.arriving.remove();
				if (overloaded || this.queue.size() >= QUEUE) {
					reject(work, ms);
				}
				else {
					this.queue.add(work);
				}
			}
			while (!this.queue.isEmpty() && this.running.size() < SLOTS) {
				double factor = -Math.log(1 - ReturnModel.this.random.nextDouble());
				this.running.put(this.queue.remove(),
						ms + 1 + (long) (ReturnModel.this.scenario.workMillis() * factor));
			}
		}

	}

}
