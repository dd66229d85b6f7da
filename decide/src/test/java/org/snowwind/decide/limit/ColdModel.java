package org.snowwind.decide.limit;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

/**
 * Simulates processes that share one server that stays cold, in virtual time. Callers
 * wait at every process. Reports are late or lost, and processes are restarted, added,
 * frozen and partitioned. Each process uses the production {@link ColdFleet},
 * {@link ColdShare} and {@link SendWindow}.
 */
final class ColdModel {

	private static final int TICK_MILLIS = 10;

	/** The maximum time from the count of a request to its sending. */
	private static final long MAX_CONNECT_MILLIS = 150;

	private static final long FORGET_MILLIS = 30_000;

	private static final String SERVER = "server-1";

	private final Random random;

	private final double boundRequests;

	private final List<SimulatedProcess> processes = new ArrayList<>();

	private final PriorityQueue<Message> messages = new PriorityQueue<>(
			(left, right) -> Long.compare(left.atMillis, right.atMillis));

	private final List<Long> sentMillis = new ArrayList<>();

	/** The processes that the platform lists. */
	private int listed;

	private long nowMillis = 1_000_000;

	private double lossRate;

	private long maxDelayMillis = 20;

	ColdModel(long seed, int count, double boundRequests) {
		this.random = new Random(seed);
		this.boundRequests = boundRequests;
		add(count);
	}

	ColdModel withReports(double lost, long delayMillis) {
		this.lossRate = lost;
		this.maxDelayMillis = delayMillis;
		return this;
	}

	/** Adds processes, which nobody knows before their first report. */
	void add(int count) {
		for (int i = 0; i < count; i++) {
			this.listed++;
			this.processes.add(new SimulatedProcess(this.processes.size()));
		}
	}

	ColdModel advance(long millis) {
		long endMillis = this.nowMillis + millis;
		while (this.nowMillis < endMillis) {
			this.nowMillis += TICK_MILLIS;
			while (!this.messages.isEmpty() && this.messages.peek().atMillis <= this.nowMillis) {
				this.messages.poll().action.run();
			}
			Collections.shuffle(this.processes, this.random);
			this.processes.forEach(SimulatedProcess::tick);
		}
		return this;
	}

	private SimulatedProcess process(int number) {
		return this.processes.stream().filter((one) -> one.number == number).findFirst().orElseThrow();
	}

	/** Kills a process. Its successor has none of its state. */
	void restart(int number, long downMillis) {
		process(number).start(this.nowMillis + downMillis);
	}

	/** Freezes a process. What it had not sent yet is sent when it wakes. */
	void freeze(int number, long millis) {
		SimulatedProcess process = process(number);
		process.stoppedUntilMillis = Math.max(process.stoppedUntilMillis, this.nowMillis + millis);
	}

	/** Partitions processes from all others, but not from each other or the server. */
	void partition(int from, int until, long millis) {
		for (int i = from; i < until; i++) {
			process(i).cutUntilMillis = this.nowMillis + millis;
		}
	}

	int count() {
		return this.processes.size();
	}

	/** Returns the highest number of requests in any second. */
	int maxInSecond() {
		List<Long> sorted = new ArrayList<>(this.sentMillis);
		Collections.sort(sorted);
		int max = 0;
		int first = 0;
		for (int last = 0; last < sorted.size(); last++) {
			while (sorted.get(first) <= sorted.get(last) - 1000) {
				first++;
			}
			max = Math.max(max, last - first + 1);
		}
		return max;
	}

	double perSecond(long sinceMillis) {
		return 1000.0 * this.sentMillis.stream().filter((atMillis) -> atMillis > sinceMillis).count()
				/ (this.nowMillis - sinceMillis);
	}

	long nowMillis() {
		return this.nowMillis;
	}

	private boolean connected(SimulatedProcess one, SimulatedProcess other) {
		return one.isCut() == other.isCut();
	}

	private long reportPeriodMillis() {
		return Math.max(100, 10L * this.listed);
	}

	private long observationPeriodMillis() {
		return Math.max(50, 2L * this.listed);
	}

	private void report(SimulatedProcess from) {
		int incarnation = from.incarnation;
		long atMillis = this.nowMillis + 1 + this.random.nextLong(this.maxDelayMillis);
		this.messages.add(new Message(atMillis, () -> {
			for (SimulatedProcess other : this.processes) {
				boolean received = other != from && other.isRunning() && connected(from, other)
						&& incarnation == from.incarnation && this.random.nextDouble() >= this.lossRate;
				if (received) {
					other.heardMillis.put(from.number, this.nowMillis);
				}
			}
		}));
	}

	private final class SimulatedProcess {

		private final int number;

		private final String name;

		private final Map<Integer, Long> heardMillis = new HashMap<>();

		private final List<Long> unsentMillis = new ArrayList<>();

		private ColdFleet fleet;

		private SendWindow window;

		private int size;

		private ColdShare.Fleet observed;

		private ColdShare.Fleet sharedFleet;

		private int share;

		private int incarnation;

		private long stoppedUntilMillis;

		private long cutUntilMillis;

		private long nextReportMillis;

		private long nextObservationMillis;

		private SimulatedProcess(int number) {
			this.number = number;
			this.name = "gateway-" + number;
			start(ColdModel.this.nowMillis);
		}

		private void start(long atMillis) {
			this.incarnation++;
			this.stoppedUntilMillis = Math.max(this.stoppedUntilMillis, atMillis);
			this.heardMillis.clear();
			this.unsentMillis.clear();
			this.fleet = new ColdFleet(this.stoppedUntilMillis);
			this.window = new SendWindow();
			this.size = 0;
			this.nextReportMillis = this.stoppedUntilMillis
					+ ColdModel.this.random.nextLong(ColdModel.this.reportPeriodMillis());
		}

		private boolean isRunning() {
			return ColdModel.this.nowMillis >= this.stoppedUntilMillis;
		}

		private boolean isCut() {
			return ColdModel.this.nowMillis < this.cutUntilMillis;
		}

		private void tick() {
			long nowMillis = ColdModel.this.nowMillis;
			if (!isRunning()) {
				return;
			}
			this.unsentMillis.removeIf((atMillis) -> {
				boolean due = atMillis <= nowMillis;
				if (due) {
					ColdModel.this.sentMillis.add(nowMillis);
				}
				return due;
			});
			if (nowMillis >= this.nextReportMillis) {
				this.nextReportMillis = nowMillis + ColdModel.this.reportPeriodMillis();
				report(this);
			}
			if (nowMillis >= this.nextObservationMillis) {
				this.nextObservationMillis = nowMillis + observationPeriodMillis();
				observe(nowMillis);
			}
			if (nowMillis % 50 == 0) {
				this.fleet.observe(this.observed, nowMillis);
			}
			int allowed = share(nowMillis);
			while (this.window.count(nowMillis) < allowed) {
				this.window.record(nowMillis);
				this.unsentMillis.add(nowMillis + ColdModel.this.random.nextLong(MAX_CONNECT_MILLIS));
			}
		}

		private int share(long nowMillis) {
			Optional<ColdShare.Fleet> usable = this.fleet.usable(nowMillis);
			if (usable.isPresent() && !usable.get().equals(this.sharedFleet)) {
				this.sharedFleet = usable.get();
				this.share = ColdShare.requests(ColdModel.this.boundRequests, this.sharedFleet, SERVER);
			}
			return usable.isPresent() ? this.share : 0;
		}

		// The rule of the gateways' fleet size: it decreases only while a majority is
		// live.
		private void observe(long nowMillis) {
			this.heardMillis.values().removeIf((atMillis) -> nowMillis - atMillis > FORGET_MILLIS);
			long silenceMillis = Math.max(1500, 3 * ColdModel.this.reportPeriodMillis());
			Set<String> live = new HashSet<>();
			this.heardMillis.forEach((other, atMillis) -> {
				if (nowMillis - atMillis <= silenceMillis) {
					live.add("gateway-" + other);
				}
			});
			if (this.size == 0) {
				this.size = ColdModel.this.listed;
			}
			int known = this.heardMillis.size() + 1;
			boolean majority = 2 * (live.size() + 1) > this.size;
			this.size = majority ? known : Math.max(this.size, known);
			this.observed = new ColdShare.Fleet(this.name, this.size, live);
		}

	}

	private record Message(long atMillis, Runnable action) {

	}

}
