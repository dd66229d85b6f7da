package org.snowwind.gateway.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.node.BooleanNode;
import org.snowwind.model.EraRevision;
import org.snowwind.model.ManualClock;
import org.snowwind.model.MonotonicClock;
import org.snowwind.store.AsyncObjectStore;
import org.snowwind.store.ConfirmationSchedule;
import org.snowwind.store.Freshness;
import org.snowwind.store.ListResult;
import org.snowwind.store.StoreListener;
import org.snowwind.store.StoreWatch;
import org.snowwind.store.StoredObject;
import org.snowwind.store.WatchPace;
import org.snowwind.store.WatchResult;
import org.snowwind.wire.generated.CopyClaim;
import org.snowwind.wire.generated.ExchangeStamp;
import org.snowwind.wire.generated.GatewayReport;

/**
 * Simulates gateways that watch a linearizable store and exchange reports, in virtual
 * time. All faults end at a given time.
 */
final class FreshnessModel {

	private static final List<String> PREFIXES = List.of("routes/", "servers/");

	private static final long WATCH_TICK_MILLIS = 100;

	private static final long MESH_TICK_MILLIS = 50;

	private static final long WAIT_MILLIS = 16_500;

	private static final long GATHER_MILLIS = 400;

	private static final long EXCHANGE_MILLIS = 800;

	private static final int KEYS = 4;

	private static final int CHANGES = 20;

	private static final int MOST_LOST_CHANGES = 10;

	private static final long MOST_REWRITE_MILLIS = 2500;

	/** The time after the last fault during which changes are still made. */
	private static final long LAST_CHANGE_MILLIS = 1500;

	/** The earliest time of a fault; by then all gateways have received a listing. */
	private static final long FIRST_FAULT_MILLIS = 2000;

	private final ManualClock clock = new ManualClock(0);

	private final PriorityQueue<Task> tasks = new PriorityQueue<>();

	private final Scenario scenario;

	private final Random random;

	private final Store store = new Store();

	private final Map<String, Gateway> fleet = new HashMap<>();

	private final List<String> addresses = new ArrayList<>();

	private final Result result = new Result();

	private long order;

	private long slowFromMillis = Long.MAX_VALUE;

	private long slowUntilMillis;

	FreshnessModel(Scenario scenario, long seed) {
		this.scenario = scenario;
		this.random = new Random(seed);
		for (int i = 0; i < scenario.gateways(); i++) {
			this.addresses.add(String.format("10.0.%d.%d:7000", i / 200, i % 200));
		}
		this.addresses.forEach((address) -> at(between(0, scenario.startWithinMillis()), () -> start(address, 1)));
		for (Fault fault : scenario.faults()) {
			scheduleFault(fault);
		}
		scheduleChanges();
	}

	Result run() {
		long endMillis = this.scenario.endMillis();
		while (!this.tasks.isEmpty() && this.tasks.peek().atMillis <= endMillis) {
			Task task = this.tasks.remove();
			this.clock.advance(task.atMillis - now());
			task.action.run();
		}
		this.clock.advance(endMillis - now());
		eachGateway((gateway) -> gateway.copies.forEach(Copy::checkOverdue));
		return this.result;
	}

	private long now() {
		return this.clock.nowMillis();
	}

	private void after(long delayMillis, Runnable action) {
		this.tasks.add(new Task(now() + delayMillis, this.random.nextInt(), this.order++, action));
	}

	private void at(long millis, Runnable action) {
		after(Math.max(0, millis - now()), action);
	}

	private long between(long from, long to) {
		return from + (long) (this.random.nextDouble() * (to - from + 1));
	}

	private long storeDelayMillis() {
		return between(1, 20);
	}

	private void start(String address, long incarnation) {
		Gateway previous = this.fleet.get(address);
		if (previous != null) {
			previous.stopped = true;
		}
		Gateway gateway = new Gateway(address, incarnation);
		this.fleet.put(address, gateway);
		gateway.start();
	}

	private void eachGateway(Consumer<Gateway> action) {
		this.fleet.values().forEach(action);
	}

	private void countCall(String prefix) {
		if (now() >= this.scenario.countFromMillis()) {
			this.result.calls.merge(prefix, 1, Integer::sum);
		}
	}

	private Set<String> chooseAddresses() {
		double share = (this.random.nextInt(3) == 0) ? 1 : this.random.nextDouble();
		Set<String> chosen = new LinkedHashSet<>(this.addresses);
		chosen.removeIf((address) -> this.random.nextDouble() >= share);
		return chosen;
	}

	private void atChosenGateways(long millis, Consumer<Gateway> action) {
		chooseAddresses().forEach((address) -> at(millis, () -> action.accept(this.fleet.get(address))));
	}

	private void scheduleFault(Fault fault) {
		long endMillis = this.scenario.faultsEndMillis();
		long fromMillis = between(FIRST_FAULT_MILLIS, endMillis - 500);
		long untilMillis = (this.random.nextInt(3) > 0) ? endMillis : between(fromMillis, endMillis);
		switch (fault) {
			case SILENT_CONNECTIONS -> scheduleSilentConnections(endMillis);
			case SLOW_STORE -> {
				this.slowFromMillis = fromMillis;
				this.slowUntilMillis = untilMillis;
			}
			case STORE_SILENT, STORE_FAILING -> atChosenGateways(fromMillis, (gateway) -> {
				gateway.storeCutUntilMillis = untilMillis;
				gateway.failsImmediately = fault == Fault.STORE_FAILING;
				gateway.silenceOpenCalls();
			});
			case FROZEN -> atChosenGateways(between(fromMillis, untilMillis),
					(gateway) -> gateway.frozenUntilMillis = Math.min(endMillis, now() + between(200, 6000)));
			case PEER_MESSAGES_DELAYED ->
				atChosenGateways(fromMillis, (gateway) -> gateway.messagesDelayedUntilMillis = untilMillis);
			case INVALID_CLAIMS, HUGE_AGE ->
				at(fromMillis, () -> this.fleet.get(this.addresses.get(0)).sendsInvalidClaims = true);
			case RESTARTS -> {
				int count = 1 + this.random.nextInt(Math.max(1, this.scenario.gateways() / 4));
				for (int i = 0; i < count; i++) {
					String address = this.addresses.get(this.random.nextInt(this.addresses.size()));
					long incarnation = 2L + i;
					at(between(fromMillis, untilMillis), () -> start(address, incarnation));
				}
			}
			case GAPS -> {
				for (int i = 0; i < 3; i++) {
					at(between(fromMillis, untilMillis), () -> this.store.compactedRevision = this.store.revision);
				}
			}
			case DRILLS -> {
				int count = 1 + this.random.nextInt(3);
				for (int i = 0; i < count; i++) {
					at(between(fromMillis, untilMillis), this.store::restoreFromCopy);
				}
			}
			default -> {
			}
		}
	}

	private void scheduleSilentConnections(long endMillis) {
		int count = this.random.nextBoolean() ? 1 : 1 + this.random.nextInt(8);
		for (int i = 0; i < count; i++) {
			atChosenGateways(between(FIRST_FAULT_MILLIS, endMillis), Gateway::silenceOpenCalls);
		}
		if (this.random.nextBoolean()) {
			at(endMillis, () -> eachGateway(Gateway::silenceOpenCalls));
		}
	}

	private void scheduleChanges() {
		long lastMillis = this.scenario.faultsEndMillis() + LAST_CHANGE_MILLIS;
		for (int i = 0; i < this.scenario.changes(); i++) {
			at(between(FIRST_FAULT_MILLIS, lastMillis), this.store::change);
		}
		if (this.scenario.faults().contains(Fault.CHANGE_BURST)) {
			long fromMillis = between(FIRST_FAULT_MILLIS, lastMillis);
			for (int i = 0; i < 12; i++) {
				at(between(fromMillis, fromMillis + 1000), this.store::change);
			}
		}
	}

	/**
	 * The kinds of faults, which occur until the end of all faults.
	 */
	enum Fault {

		SILENT_CONNECTIONS, SLOW_STORE, STORE_SILENT, STORE_FAILING, FROZEN, PEER_MESSAGES_DELAYED, INVALID_CLAIMS,
		HUGE_AGE, RESTARTS, GAPS, CHANGE_BURST, DRILLS

	}

	/**
	 * The parameters of a simulation.
	 *
	 * @param gateways the number of gateways
	 * @param boundMillis the time for which a copy may be unconfirmed, in milliseconds
	 * @param faults the kinds of faults that occur
	 * @param faultsEndMillis when the last fault ends, in milliseconds
	 * @param changes the number of changes besides those of a change burst
	 * @param startWithinMillis the time within which all gateways start, in milliseconds
	 * @param countFromMillis the time from which calls are counted, in milliseconds
	 * @param endMillis when the simulation ends, in milliseconds
	 * @param waitingGateways the number of gateways that keep a call waiting for changes
	 */
	record Scenario(int gateways, long boundMillis, Set<Fault> faults, long faultsEndMillis, int changes,
			long startWithinMillis, long countFromMillis, long endMillis, int waitingGateways) {

		static Scenario quiet(int gateways, long boundMillis, long startWithinMillis, long countFromMillis,
				long endMillis) {
			return new Scenario(gateways, boundMillis, Set.of(), 0, 0, startWithinMillis, countFromMillis, endMillis,
					gateways);
		}

		static Scenario disrupted(int gateways, long boundMillis, Set<Fault> faults, long faultsEndMillis) {
			return new Scenario(gateways, boundMillis, faults, faultsEndMillis, CHANGES, 1000, 0,
					faultsEndMillis + LAST_CHANGE_MILLIS + boundMillis + 1000, gateways);
		}

		Scenario withWaiting(int nowWaitingGateways) {
			return new Scenario(this.gateways, this.boundMillis, this.faults, this.faultsEndMillis, this.changes,
					this.startWithinMillis, this.countFromMillis, this.endMillis, nowWaitingGateways);
		}

	}

	/**
	 * The result of a simulation.
	 */
	static final class Result {

		private final Map<String, Integer> calls = new HashMap<>();

		private final List<String> falseConfirmations = new ArrayList<>();

		private final List<String> falseConfirmationsBeforeListing = new ArrayList<>();

		private long maxDelayMillis;

		private String slowestChange = "";

		int maxCalls() {
			return this.calls.values().stream().mapToInt(Integer::intValue).max().orElse(0);
		}

		int totalCalls() {
			return this.calls.values().stream().mapToInt(Integer::intValue).sum();
		}

		List<String> falseConfirmations() {
			return this.falseConfirmations;
		}

		List<String> falseConfirmationsBeforeListing() {
			return this.falseConfirmationsBeforeListing;
		}

		long maxDelayMillis() {
			return this.maxDelayMillis;
		}

		String slowestChange() {
			return this.slowestChange;
		}

		private void recordDelay(long changeDelayMillis, String description) {
			if (changeDelayMillis > this.maxDelayMillis) {
				this.maxDelayMillis = changeDelayMillis;
				this.slowestChange = description;
			}
		}

	}

	/**
	 * An action at a given time. Actions at the same time run in random order.
	 */
	private record Task(long atMillis, int tie, long order, Runnable action) implements Comparable<Task> {

		@Override
		public int compareTo(Task other) {
			int byTime = Long.compare(this.atMillis, other.atMillis);
			int byTie = (byTime != 0) ? byTime : Integer.compare(this.tie, other.tie);
			return (byTie != 0) ? byTie : Long.compare(this.order, other.order);
		}

	}

	private record Change(String prefix, StoredObject object, long ackedMillis) {

		private StoredObject inEra(long era) {
			EraRevision revision = new EraRevision(era, this.object.revision().number());
			return new StoredObject(this.object.key(), revision, this.object.value());
		}

		// A change that was not lost is part of the history of all later eras.
		private boolean isIncludedIn(EraRevision revision) {
			return revision.era() >= this.object.revision().era()
					&& revision.number() >= this.object.revision().number();
		}

	}

	private record Waiter(Call call, EraRevision afterRevision) {

	}

	/**
	 * Answers each call with the changes that exist when the answer is composed.
	 */
	private final class Store {

		private final List<Change> changes = new ArrayList<>();

		private final Map<String, List<Waiter>> waiters = new HashMap<>();

		private EraRevision revision = new EraRevision(1, 1);

		private EraRevision compactedRevision = new EraRevision(1, 0);

		private void change() {
			String prefix = PREFIXES.get(FreshnessModel.this.random.nextInt(PREFIXES.size()));
			String key = prefix + FreshnessModel.this.random.nextInt(KEYS);
			boolean deleted = FreshnessModel.this.random.nextInt(4) == 0;
			change(prefix, key, deleted);
		}

		private void change(String prefix, String key, boolean deleted) {
			this.revision = new EraRevision(this.revision.era(), this.revision.number() + 1);
			StoredObject object = new StoredObject(key, this.revision, deleted ? null : BooleanNode.TRUE);
			Change change = new Change(prefix, object, now() + between(0, 30));
			this.changes.add(change);
			List<Waiter> waiting = this.waiters.computeIfAbsent(prefix, (each) -> new ArrayList<>());
			List<Waiter> woken = List.copyOf(waiting);
			waiting.clear();
			woken.forEach((waiter) -> waiter.call.respond(changesAfter(prefix, waiter.afterRevision.number())));
			eachGateway((gateway) -> gateway.copies.forEach((copy) -> copy.expect(change)));
		}

		// Waiting calls are never answered. What was lost is written again later.
		private void restoreFromCopy() {
			long copied = Math.max(1, this.revision.number() - between(0, MOST_LOST_CHANGES));
			List<Change> lost = this.changes.stream()
				.filter((change) -> change.object.revision().number() > copied)
				.toList();
			this.changes.removeAll(lost);
			this.waiters.clear();
			this.revision = new EraRevision(this.revision.era() + 1, copied);
			this.compactedRevision = new EraRevision(this.revision.era(),
					Math.min(copied, this.compactedRevision.number()));
			eachGateway((gateway) -> gateway.copies.forEach((copy) -> copy.missing.removeAll(lost)));
			lost.forEach((change) -> after(between(0, MOST_REWRITE_MILLIS),
					() -> change(change.prefix, change.object.key(), change.object.deleted())));
		}

		private boolean isGone(EraRevision afterRevision) {
			long number = afterRevision.number();
			return number < this.compactedRevision.number() || number > this.revision.number();
		}

		private WatchResult.Changes changesAfter(String prefix, long afterNumber) {
			List<StoredObject> objects = this.changes.stream()
				.filter((change) -> change.prefix.equals(prefix) && change.object.revision().number() > afterNumber)
				.map((change) -> change.inEra(this.revision.era()))
				.toList();
			return new WatchResult.Changes(objects, this.revision);
		}

		private void list(Call call, String prefix) {
			Map<String, StoredObject> objects = new HashMap<>();
			changesAfter(prefix, 0).objects().forEach((object) -> objects.put(object.key(), object));
			objects.values().removeIf(StoredObject::deleted);
			call.respond(new ListResult.Listed(this.revision, List.copyOf(objects.values())));
		}

		private void watch(Call call, String prefix, EraRevision afterRevision, long waitMillis) {
			if (isGone(afterRevision)) {
				call.respond(new WatchResult.Gap());
				return;
			}
			WatchResult.Changes known = changesAfter(prefix, afterRevision.number());
			if (!known.objects().isEmpty()) {
				call.respond(known);
				return;
			}
			Waiter waiter = new Waiter(call, afterRevision);
			List<Waiter> waiting = this.waiters.computeIfAbsent(prefix, (each) -> new ArrayList<>());
			waiting.add(waiter);
			after(waitMillis, () -> {
				if (waiting.remove(waiter)) {
					call.respond(new WatchResult.Changes(List.of(), this.revision));
				}
			});
		}

	}

	/**
	 * A call to the store on a connection of its own.
	 */
	private final class Call {

		private final Gateway gateway;

		private final CompletableFuture<Object> future = new CompletableFuture<>();

		private boolean silent;

		private Call(Gateway gateway) {
			this.gateway = gateway;
		}

		private void send(long timeoutMillis, Object failure, Runnable request) {
			boolean cut = now() < this.gateway.storeCutUntilMillis;
			if (cut && this.gateway.failsImmediately) {
				this.gateway.later(between(0, 2), () -> this.future.complete(failure));
				return;
			}
			this.silent = cut;
			this.gateway.openCalls.add(this);
			this.gateway.later(timeoutMillis, () -> end(failure));
			after(storeDelayMillis(), () -> {
				if (!this.silent) {
					request.run();
				}
			});
		}

		private void respond(Object answer) {
			boolean slow = now() >= FreshnessModel.this.slowFromMillis && now() < FreshnessModel.this.slowUntilMillis;
			this.gateway.later(storeDelayMillis() + (slow ? between(300, 3000) : 0), () -> {
				if (!this.silent) {
					end(answer);
				}
			});
		}

		private void end(Object answer) {
			this.gateway.openCalls.remove(this);
			this.future.complete(answer);
		}

	}

	/**
	 * A copy of the objects under one prefix, and the changes that it does not contain
	 * yet.
	 */
	private final class Copy implements StoreListener {

		private final Gateway gateway;

		private final String prefix;

		private final Freshness freshness;

		private final Map<String, StoredObject> objects = new HashMap<>();

		private final List<Change> missing = new ArrayList<>();

		private StoreWatch watch;

		private boolean listed;

		private Copy(Gateway gateway, String prefix, ConfirmationRank rank) {
			this.gateway = gateway;
			this.prefix = prefix;
			this.freshness = new Freshness(gateway.clock);
			ConfirmationSchedule schedule = new ConfirmationSchedule(FreshnessModel.this.scenario.boundMillis(),
					() -> rank.of(prefix));
			this.watch = new StoreWatch(gateway, prefix,
					new WatchPace(WAIT_MILLIS, GATHER_MILLIS, schedule,
							() -> rank.of(prefix) < FreshnessModel.this.scenario.waitingGateways()),
					this, this.freshness, gateway.clock, new Random(FreshnessModel.this.random.nextLong()));
			this.watch.onAnswer(() -> gateway.later(0, this::round));
			FreshnessModel.this.store.changes.forEach(this::expect);
		}

		private void expect(Change change) {
			if (change.prefix.equals(this.prefix)) {
				this.missing.add(change);
			}
		}

		private void round() {
			this.watch.round();
			check();
		}

		private void tick() {
			round();
			this.gateway.later(WATCH_TICK_MILLIS, this::tick);
		}

		@Override
		public void listed(ListResult.Listed listing) {
			this.listed = true;
			this.objects.clear();
			listing.objects().forEach((object) -> this.objects.put(object.key(), object));
			this.missing.removeIf((change) -> recordIfContained(change, listing.revision()));
		}

		@Override
		public void changed(WatchResult.Changes changes) {
			changes.objects().forEach((object) -> this.objects.put(object.key(), object));
			this.missing.removeIf((change) -> recordIfContained(change, EraRevision.NONE));
		}

		private boolean recordIfContained(Change change, EraRevision listedRevision) {
			StoredObject object = this.objects.get(change.object.key());
			boolean contained = change.isIncludedIn((object != null) ? object.revision() : listedRevision);
			if (contained) {
				FreshnessModel.this.result.recordDelay(changeDelayMillis(change), describe(change));
			}
			return contained;
		}

		private long changeDelayMillis(Change change) {
			return now() - Math.max(change.ackedMillis, FreshnessModel.this.scenario.faultsEndMillis());
		}

		private void check() {
			if (this.missing.isEmpty()) {
				return;
			}
			long confirmedMillis = now() - this.freshness.unconfirmedMillis();
			for (Change change : this.missing) {
				if (change.ackedMillis < confirmedMillis) {
					List<String> found = this.listed ? FreshnessModel.this.result.falseConfirmations
							: FreshnessModel.this.result.falseConfirmationsBeforeListing;
					found.add(describe(change) + ", confirmed as of " + confirmedMillis);
					return;
				}
			}
		}

		private void checkOverdue() {
			for (Change change : this.missing) {
				if (changeDelayMillis(change) > FreshnessModel.this.scenario.boundMillis()) {
					FreshnessModel.this.result.recordDelay(changeDelayMillis(change),
							describe(change) + ", missing at the end");
				}
			}
		}

		private String describe(Change change) {
			return String.format("%s (incarnation %d) at %d: change %s of %s, acknowledged at %d", this.gateway.address,
					this.gateway.incarnation, now(), change.object.revision(), change.object.key(), change.ackedMillis);
		}

	}

	/**
	 * A gateway with its own clock, whose origin differs from that of the others.
	 */
	private final class Gateway implements AsyncObjectStore {

		private final String address;

		private final long incarnation;

		private final long originMillis = between(-1_000_000_000, 1_000_000_000);

		private final MonotonicClock clock = () -> now() + this.originMillis;

		private final PeerTable peers;

		private final CallSchedule callSchedule;

		private final List<Copy> copies = new ArrayList<>();

		private final StoreClaims claims;

		private final List<Call> openCalls = new ArrayList<>();

		private long nextAgingMillis = Long.MIN_VALUE;

		private Set<String> live = Set.of();

		private boolean stopped;

		private boolean sendsInvalidClaims;

		private boolean failsImmediately;

		private long storeCutUntilMillis;

		private long frozenUntilMillis;

		private long messagesDelayedUntilMillis;

		private Gateway(String address, long incarnation) {
			this.address = address;
			this.incarnation = incarnation;
			this.peers = new PeerTable(address);
			this.callSchedule = new CallSchedule(address);
			ConfirmationRank rank = new ConfirmationRank(address, this::live);
			Map<String, Freshness> freshness = new HashMap<>();
			for (String prefix : PREFIXES) {
				Copy copy = new Copy(this, prefix, rank);
				this.copies.add(copy);
				freshness.put(prefix, copy.freshness);
			}
			this.claims = new StoreClaims(freshness, incarnation, this.clock);
		}

		private Set<String> live() {
			if (this.live.isEmpty()) {
				this.live = this.peers.liveNames();
			}
			return this.live;
		}

		private void start() {
			FreshnessModel.this.addresses.forEach((each) -> this.peers.addCandidate(each, this.clock.nowMillis()));
			this.copies.forEach((copy) -> later(between(0, WATCH_TICK_MILLIS), copy::tick));
			later(between(0, MESH_TICK_MILLIS), this::meshTick);
		}

		// A frozen process handles what has arrived when the freeze ends.
		private void later(long delayMillis, Runnable action) {
			after(delayMillis, () -> {
				if (now() < this.frozenUntilMillis) {
					later(this.frozenUntilMillis - now() + between(0, 5), action);
				}
				else if (!this.stopped) {
					action.run();
				}
			});
		}

		private void silenceOpenCalls() {
			this.openCalls.forEach((call) -> call.silent = true);
		}

		@Override
		public CompletableFuture<ListResult> startList(String prefix, long timeoutMillis) {
			countCall(prefix);
			Call call = new Call(this);
			call.send(timeoutMillis, new ListResult.Away("no answer"),
					() -> FreshnessModel.this.store.list(call, prefix));
			return call.future.thenApply(ListResult.class::cast);
		}

		@Override
		public CompletableFuture<WatchResult> startWatch(String prefix, EraRevision afterRevision, long waitMillis,
				long timeoutMillis) {
			countCall(prefix);
			Call call = new Call(this);
			call.send(timeoutMillis, new WatchResult.Away("no answer"),
					() -> FreshnessModel.this.store.watch(call, prefix, afterRevision, waitMillis));
			return call.future.thenApply(WatchResult.class::cast);
		}

		// Mirrors PeerMesh.runRound.
		private void meshTick() {
			this.live = Set.of();
			long nowMillis = this.clock.nowMillis();
			long periodMillis = Math.max(100, 10L * this.peers.knownCount());
			if (nowMillis >= this.nextAgingMillis) {
				this.nextAgingMillis = nowMillis + periodMillis;
				this.peers.expireSilent(nowMillis, periodMillis);
				this.claims.retain(Set.copyOf(this.peers.addresses()));
			}
			List<String> due = this.callSchedule.due(this.peers.addresses(), nowMillis, periodMillis)
				.stream()
				.filter((peer) -> this.peers.shouldCall(peer, nowMillis, periodMillis))
				.toList();
			if (!due.isEmpty()) {
				GatewayReport report = report();
				due.forEach((peer) -> exchange(peer, report));
			}
			later(MESH_TICK_MILLIS, this::meshTick);
		}

		private GatewayReport report() {
			GatewayReport report = new GatewayReport(this.address, this.incarnation, this.address, false, 0, 0,
					Map.of(), List.of(), 0);
			this.claims.addClaims(report);
			if (this.sendsInvalidClaims && now() < FreshnessModel.this.scenario.faultsEndMillis()) {
				report.setClaims(PREFIXES.stream().map(this::invalidClaim).toList());
			}
			return report;
		}

		private CopyClaim invalidClaim(String prefix) {
			if (FreshnessModel.this.scenario.faults().contains(Fault.HUGE_AGE)) {
				return new CopyClaim(prefix, 0, 1, Long.MAX_VALUE);
			}
			return switch (FreshnessModel.this.random.nextInt(4)) {
				case 0 -> new CopyClaim(prefix, 1_000_000_000_000_000_000L, 1_000_000_000_000_000_000L, 0);
				case 1 -> new CopyClaim(prefix, -1, 1, 0);
				case 2 -> new CopyClaim(prefix, 0, 1, -1_000_000);
				default -> new CopyClaim(prefix, Long.MAX_VALUE, Long.MAX_VALUE, Long.MIN_VALUE);
			};
		}

		private void exchange(String peer, GatewayReport report) {
			ExchangeStamp stamp = this.claims.stamp(peer, report);
			long sentMillis = this.clock.nowMillis();
			send(peer, (other) -> {
				other.claims.acceptCall(report, stamp);
				other.heard(report);
				GatewayReport answer = other.report();
				other.reply(this, () -> {
					// A late answer is dropped unless this process was frozen.
					if (this.clock.nowMillis() - sentMillis <= EXCHANGE_MILLIS || this.frozenUntilMillis > 0) {
						this.claims.acceptAnswer(peer, answer, sentMillis, this.clock.nowMillis());
						heard(answer);
					}
				});
			});
		}

		private void send(String peer, Delivery delivery) {
			Gateway receiver = FreshnessModel.this.fleet.get(peer);
			if (receiver == null) {
				return;
			}
			after(delayTo(receiver), () -> {
				Gateway current = FreshnessModel.this.fleet.get(peer);
				current.later(between(0, 2), () -> delivery.to(current));
			});
		}

		private void reply(Gateway caller, Runnable answer) {
			caller.later(delayTo(caller) + between(0, 2), answer);
		}

		private long delayTo(Gateway peer) {
			return between(1, 10) + Math.max(messageDelayMillis(), peer.messageDelayMillis());
		}

		private long messageDelayMillis() {
			return Math.max(0, this.messagesDelayedUntilMillis - now());
		}

		private void heard(GatewayReport report) {
			this.peers.acceptReport(report, this.clock.nowMillis());
			this.copies.forEach(Copy::check);
		}

	}

	/**
	 * Delivers a message to the process that currently has the address.
	 */
	@FunctionalInterface
	private interface Delivery {

		void to(Gateway receiver);

	}

}
