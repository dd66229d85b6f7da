package org.snowwind.decide.blame;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * Simulates in fixed time steps a pool of servers, callers with harmless requests,
 * callers whose request ends each server that runs it, and servers that end for unrelated
 * reasons.
 */
final class PoolModel {

	private static final int STEP_MILLIS = 10;

	private static final int RESTART_MILLIS = 3000;

	/** How long the fatal request runs before its server ends. */
	private static final int FATAL_RUN_MILLIS = 100;

	/** The time from the end of a server until all gateways know of it. */
	private static final int REPORT_DELAY_MILLIS = 600;

	/**
	 * How often one request is sent at most, by retries of the gateway and of the caller.
	 */
	private static final int MAX_SENDS = 6;

	private final Random random;

	private final Load load;

	private final List<Server> servers = new ArrayList<>();

	private final List<Work> waiting = new ArrayList<>();

	private final Map<Integer, List<ServerEnd>> unreported = new HashMap<>();

	private final Set<ServerEnd> ends = new HashSet<>();

	private final Set<ServerEnd> cleared = new HashSet<>();

	private final Set<String> requestsAtAnEnd = new HashSet<>();

	private final Set<String> falselyBlamed = new HashSet<>();

	private Set<String> blamed = Set.of();

	private int nowMillis;

	private int incarnations;

	private int endedByFatal;

	private int requests;

	PoolModel(long seed, Load load) {
		this.random = new Random(seed);
		this.load = load;
		for (int i = 0; i < load.servers(); i++) {
			this.servers.add(new Server("life-" + this.incarnations++));
		}
	}

	void run(int millis) {
		for (this.nowMillis = 0; this.nowMillis < millis; this.nowMillis += STEP_MILLIS) {
			deliverReports();
			addRequests();
			List.copyOf(this.waiting).forEach(this::begin);
			this.servers.forEach(this::step);
		}
	}

	private void deliverReports() {
		List<ServerEnd> reported = this.unreported.remove(this.nowMillis);
		if (reported != null) {
			this.ends.addAll(reported);
			this.blamed = Blame.blamedRequests(this.ends, this.cleared);
			this.blamed.stream().filter((request) -> !request.startsWith("fatal")).forEach(this.falselyBlamed::add);
		}
	}

	private void addRequests() {
		if (this.random.nextInt(1000) < this.load.requestsPerSecond() * STEP_MILLIS) {
			this.waiting.add(new Work("request-" + this.requests++, false));
		}
		for (int i = 0; i < this.load.fatalCallers(); i++) {
			if ((this.nowMillis + 700 * i) % this.load.fatalEveryMillis() == 0) {
				this.waiting.add(new Work("fatal-" + i, true));
				this.waiting.get(this.waiting.size() - 1).sends = MAX_SENDS - 2;
			}
		}
	}

	private void begin(Work work) {
		if (work.notBeforeMillis > this.nowMillis) {
			return;
		}
		List<Server> up = this.servers.stream()
			.filter((server) -> server.upFromMillis <= this.nowMillis && server.running.size() < this.load.slots())
			.toList();
		if (this.blamed.contains(work.name) || work.sends >= MAX_SENDS) {
			this.waiting.remove(work);
			return;
		}
		if (!up.isEmpty()) {
			this.waiting.remove(work);
			work.sends++;
			work.remainingMillis = work.fatal ? FATAL_RUN_MILLIS : 200 + this.random.nextInt(1500);
			up.get(this.random.nextInt(up.size())).running.add(work);
		}
	}

	private void step(Server server) {
		boolean ends = server.upFromMillis <= this.nowMillis
				&& this.random.nextInt(this.load.unrelatedEndEveryMillis()) < STEP_MILLIS;
		for (Work work : List.copyOf(server.running)) {
			work.remainingMillis -= STEP_MILLIS;
			if (work.remainingMillis <= 0 && work.fatal) {
				ends = true;
				this.endedByFatal++;
			}
			else if (work.remainingMillis <= 0) {
				server.running.remove(work);
				recordAnswer(work.name);
			}
		}
		if (ends) {
			end(server);
		}
	}

	private void recordAnswer(String request) {
		List<ServerEnd> answered = this.ends.stream().filter((end) -> end.request().equals(request)).toList();
		if (answered.size() >= Blame.MIN_CLEARABLE_ENDS) {
			answered.forEach(this.ends::remove);
			this.cleared.addAll(answered);
		}
	}

	private void end(Server server) {
		for (Work work : server.running) {
			this.requestsAtAnEnd.add(work.name);
			this.unreported.computeIfAbsent(this.nowMillis + REPORT_DELAY_MILLIS, (time) -> new ArrayList<>())
				.add(new ServerEnd(work.name, server.incarnation));
			// The gateway retries at once, the caller later.
			work.notBeforeMillis = this.nowMillis + ((work.sends % 2 == 1) ? STEP_MILLIS : 500);
			this.waiting.add(work);
		}
		server.running.clear();
		server.incarnation = "life-" + this.incarnations++;
		server.upFromMillis = this.nowMillis + RESTART_MILLIS;
	}

	int endedByFatal() {
		return this.endedByFatal;
	}

	int falselyBlamed() {
		return this.falselyBlamed.size();
	}

	long innocentsAtAnEnd() {
		return this.requestsAtAnEnd.stream().filter((request) -> !request.startsWith("fatal")).count();
	}

	/**
	 * The load of a simulated pool.
	 *
	 * @param servers how many servers it has
	 * @param slots how many requests a server runs at once
	 * @param requestsPerSecond how many harmless requests arrive per second
	 * @param fatalCallers how many callers send a fatal request, each a different one
	 * @param fatalEveryMillis the interval at which each of them sends it, in
	 * milliseconds
	 * @param unrelatedEndEveryMillis the mean time after which a server ends for
	 * unrelated reasons, in milliseconds
	 */
	record Load(int servers, int slots, int requestsPerSecond, int fatalCallers, int fatalEveryMillis,
			int unrelatedEndEveryMillis) {

	}

	private static final class Server {

		private String incarnation;

		private int upFromMillis;

		private final List<Work> running = new ArrayList<>();

		private Server(String incarnation) {
			this.incarnation = incarnation;
		}

	}

	private static final class Work {

		private final String name;

		private final boolean fatal;

		private int sends;

		private int notBeforeMillis;

		private int remainingMillis;

		private Work(String name, boolean fatal) {
			this.name = name;
			this.fatal = fatal;
		}

	}

}
