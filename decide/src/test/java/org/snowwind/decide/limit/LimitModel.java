package org.snowwind.decide.limit;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;

/**
 * Simulates processes that share one rate-limited server in virtual time. Messages
 * between the processes are delayed or lost, and processes are restarted, frozen and
 * partitioned from the others. Each process uses the production {@link RateAllocator} and
 * {@link GrantedRate}.
 */
final class LimitModel {

	static final long WINDOW_MILLIS = 4000;

	private static final int TICK_MILLIS = 5;

	/** How long a process that sends no reports counts as live, in report periods. */
	private static final int SILENCE_PERIODS = 3;

	/** The shortest time for which it counts as live, in milliseconds. */
	private static final long SILENCE_MILLIS = 1500;

	/**
	 * How long the requests of a process do not count after a fault, in milliseconds.
	 */
	private static final long RECOVERY_MILLIS = 3000;

	private final Random random;

	private final List<SimulatedProcess> processes = new ArrayList<>();

	private final PriorityQueue<Message> pendingMessages = new PriorityQueue<>(
			(left, right) -> Long.compare(left.atMillis, right.atMillis));

	private final long reportPeriodMillis;

	private final long requestPeriodMillis;

	private final long leaseMillis;

	/** When the requests that count reached the server, in order. */
	private final List<Long> countedMillis = new ArrayList<>();

	private final List<Long> allMillis = new ArrayList<>();

	private final TreeMap<Long, Double> limits = new TreeMap<>();

	private double arrivalsPerProcess;

	private double lossRate;

	private long maxDelayMillis = 20;

	private long nowMillis = 1_000_000;

	private final long startMillis = this.nowMillis;

	LimitModel(long seed, int count, double arrivalsPerSecond) {
		this.random = new Random(seed);
		this.reportPeriodMillis = Math.max(100, 10L * count);
		this.requestPeriodMillis = 100 + 5L * count + 2;
		this.leaseMillis = 4 * this.requestPeriodMillis + 500;
		this.arrivalsPerProcess = arrivalsPerSecond / count;
		for (int i = 0; i < count; i++) {
			this.processes.add(new SimulatedProcess(i, count));
		}
		this.processes
			.forEach((one) -> this.processes.forEach((other) -> one.receivedReport(other.number, this.nowMillis)));
	}

	LimitModel limit(double perSecond) {
		this.limits.put(this.nowMillis, perSecond);
		return this;
	}

	/** Gives some processes many times the arrivals of others. */
	LimitModel skewed(double exponent) {
		double sum = 0;
		for (int i = 1; i <= this.processes.size(); i++) {
			sum += Math.pow(i, -exponent);
		}
		for (SimulatedProcess process : this.processes) {
			process.weight = Math.pow(1.0 + process.number, -exponent) * this.processes.size() / sum;
		}
		return this;
	}

	LimitModel withLossRate(double fraction) {
		this.lossRate = fraction;
		return this;
	}

	LimitModel withMaxDelay(long millis) {
		this.maxDelayMillis = millis;
		return this;
	}

	private double limitNow() {
		return this.limits.floorEntry(this.nowMillis).getValue();
	}

	/** Advances the simulation, in milliseconds. */
	LimitModel advance(long millis) {
		long endMillis = this.nowMillis + millis;
		while (this.nowMillis < endMillis) {
			this.nowMillis += TICK_MILLIS;
			while (!this.pendingMessages.isEmpty() && this.pendingMessages.peek().atMillis <= this.nowMillis) {
				Message message = this.pendingMessages.poll();
				if (message.to < 0 || this.processes.get(message.to).isRunning()) {
					message.action.run();
				}
			}
			this.processes.forEach(SimulatedProcess::tick);
		}
		return this;
	}

	/** Stops a process and starts another in its place, which has none of its state. */
	void restart(int number, long downMillis) {
		SimulatedProcess process = this.processes.get(number);
		process.downUntilMillis = this.nowMillis + downMillis;
		process.faultEndMillis = process.downUntilMillis;
		process.start(this.nowMillis + downMillis);
	}

	/** Freezes a process, which then continues with its state. */
	void freeze(int number, long millis) {
		SimulatedProcess process = this.processes.get(number);
		process.downUntilMillis = this.nowMillis + millis;
		process.faultEndMillis = process.downUntilMillis;
	}

	/** Partitions processes from all others, but not from callers and the server. */
	void partition(int from, int until, long millis) {
		for (int i = from; i < until; i++) {
			this.processes.get(i).partitionedUntilMillis = this.nowMillis + millis;
			this.processes.get(i).faultEndMillis = this.nowMillis + millis;
		}
	}

	int anyProcess() {
		return this.random.nextInt(this.processes.size());
	}

	/** Returns the highest number of requests over the bound in any window. */
	double maxExcess(double factor, double extra) {
		double max = Double.NEGATIVE_INFINITY;
		int first = 0;
		for (int last = 0; last < this.countedMillis.size(); last++) {
			long untilMillis = this.countedMillis.get(last);
			while (this.countedMillis.get(first) <= untilMillis - WINDOW_MILLIS) {
				first++;
			}
			double allowed = factor * WINDOW_MILLIS / 1000 * highestLimit(untilMillis - WINDOW_MILLIS, untilMillis)
					+ extra;
			max = Math.max(max, last - first + 1 - allowed);
		}
		return max;
	}

	private double highestLimit(long fromMillis, long untilMillis) {
		Map.Entry<Long, Double> before = this.limits.floorEntry(fromMillis);
		double highestLimit = (before != null) ? before.getValue() : 0;
		for (double limit : this.limits.subMap(fromMillis, true, untilMillis, true).values()) {
			highestLimit = Math.max(highestLimit, limit);
		}
		return highestLimit;
	}

	/** Returns the rate at which requests reached the server since a time. */
	double usedPerSecond(long sinceMillis) {
		long count = this.allMillis.stream().filter((atMillis) -> atMillis > sinceMillis).count();
		return 1000.0 * count / (this.nowMillis - sinceMillis);
	}

	long nowMillis() {
		return this.nowMillis;
	}

	private void send(int from, int to, Runnable action) {
		if (from != to && (this.processes.get(from).isPartitioned() || this.processes.get(to).isPartitioned()
				|| this.random.nextDouble() < this.lossRate)) {
			return;
		}
		long delayMillis = (from == to) ? 0 : 1 + this.random.nextLong(this.maxDelayMillis);
		this.pendingMessages.add(new Message(this.nowMillis + delayMillis, to, action));
	}

	// One delay for all receivers, so that a report to all is one message.
	private void report(int from) {
		long delayMillis = 1 + this.random.nextLong(this.maxDelayMillis);
		boolean partitioned = this.processes.get(from).isPartitioned();
		this.pendingMessages.add(new Message(this.nowMillis + delayMillis, -1, () -> this.processes.forEach((other) -> {
			boolean reached = other.isRunning() && !other.isPartitioned() && !partitioned
					&& this.random.nextDouble() >= this.lossRate;
			if (reached) {
				other.receivedReport(from, this.nowMillis);
			}
		})));
	}

	private void arrived(boolean counts) {
		this.allMillis.add(this.nowMillis);
		if (counts) {
			this.countedMillis.add(this.nowMillis);
		}
	}

	private final class SimulatedProcess {

		private final int number;

		private final long[] lastReportMillis;

		private double weight = 1;

		private RateAllocator ledger;

		private GrantedRate granted;

		private ArrivalRate arrivals;

		private int waiting;

		private long nextReportMillis;

		private long nextRequestMillis;

		private double knownLimit;

		private long downUntilMillis = Long.MIN_VALUE;

		private long partitionedUntilMillis = Long.MIN_VALUE;

		private long faultEndMillis = Long.MIN_VALUE / 2;

		private SimulatedProcess(int number, int count) {
			this.number = number;
			this.lastReportMillis = new long[count];
			start(LimitModel.this.nowMillis);
		}

		private void start(long atMillis) {
			this.ledger = new RateAllocator();
			this.granted = new GrantedRate();
			this.arrivals = new ArrivalRate();
			this.waiting = 0;
			this.knownLimit = LimitReport.ENDED;
			Arrays.fill(this.lastReportMillis, Long.MIN_VALUE / 2);
			this.nextReportMillis = atMillis + LimitModel.this.random.nextLong(LimitModel.this.reportPeriodMillis);
			this.nextRequestMillis = atMillis + LimitModel.this.random.nextLong(LimitModel.this.requestPeriodMillis);
		}

		private boolean isRunning() {
			return LimitModel.this.nowMillis >= this.downUntilMillis;
		}

		private boolean isPartitioned() {
			return LimitModel.this.nowMillis < this.partitionedUntilMillis;
		}

		private void receivedReport(int other, long atMillis) {
			this.lastReportMillis[other] = atMillis;
		}

		private void tick() {
			if (!isRunning()) {
				return;
			}
			this.knownLimit = limitNow();
			arrive();
			while (this.waiting > 0 && this.granted.allows(this.knownLimit, LimitModel.this.nowMillis)) {
				this.waiting--;
				this.granted.recordSent(this.knownLimit, LimitModel.this.nowMillis);
				sent();
			}
			if (LimitModel.this.nowMillis >= this.nextReportMillis) {
				this.nextReportMillis = LimitModel.this.nowMillis + LimitModel.this.reportPeriodMillis;
				LimitModel.this.report(this.number);
			}
			if (LimitModel.this.nowMillis >= this.nextRequestMillis) {
				this.nextRequestMillis = LimitModel.this.nowMillis + LimitModel.this.requestPeriodMillis;
				requestGrant();
			}
		}

		private void arrive() {
			double expected = LimitModel.this.arrivalsPerProcess * this.weight * TICK_MILLIS / 1000;
			while (LimitModel.this.random.nextDouble() < expected) {
				expected -= 1;
				this.arrivals.recordRequest(LimitModel.this.nowMillis);
				this.waiting = Math.min(this.waiting + 1, 5);
			}
		}

		private void sent() {
			boolean counts = LimitModel.this.nowMillis - this.faultEndMillis > RECOVERY_MILLIS
					&& LimitModel.this.nowMillis - LimitModel.this.startMillis > RECOVERY_MILLIS;
			LimitModel.this.pendingMessages
				.add(new Message(LimitModel.this.nowMillis + LimitModel.this.random.nextInt(10), -1,
						() -> LimitModel.this.arrived(counts)));
		}

		private int coordinator() {
			long silenceMillis = Math.max(SILENCE_MILLIS, SILENCE_PERIODS * LimitModel.this.reportPeriodMillis);
			int first = this.number;
			for (int other = 0; other < this.lastReportMillis.length; other++) {
				boolean live = LimitModel.this.nowMillis - this.lastReportMillis[other] <= silenceMillis;
				first = (live && rank(other) < rank(first)) ? other : first;
			}
			return first;
		}

		private int rank(int process) {
			return Math.floorMod(process * 31 + 17, 1009);
		}

		private void requestGrant() {
			int coordinator = coordinator();
			long requestedMillis = LimitModel.this.nowMillis;
			RateDemand demand = new RateDemand(this.knownLimit, this.arrivals.perSecond(requestedMillis),
					this.granted.perSecond(requestedMillis), this.waiting);
			GrantedRate grantedAtRequest = this.granted;
			SimulatedProcess other = LimitModel.this.processes.get(coordinator);
			LimitModel.this.send(this.number, coordinator, () -> {
				RateGrant grant = other.ledger.grant("p" + this.number, demand, other.coordinator() == coordinator,
						LimitModel.this.leaseMillis, LimitModel.this.nowMillis);
				LimitModel.this.send(coordinator, this.number, () -> {
					if (this.granted == grantedAtRequest && LimitModel.this.nowMillis - requestedMillis < 800) {
						this.granted.apply(grant, requestedMillis, this.knownLimit, LimitModel.this.nowMillis);
					}
				});
			});
		}

	}

	private record Message(long atMillis, int to, Runnable action) {

	}

}
