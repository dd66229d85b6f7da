package org.snowwind.app.soak;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.snowwind.http.DataLoop;
import org.snowwind.platform.standin.Answers;
import org.snowwind.platform.standin.LimitChange;

/**
 * One soak: load and faults in overlapping series, then calm, then the checks.
 */
final class SoakRun implements AutoCloseable {

	private static final int GATEWAYS = 4;

	private static final List<CallKind> KINDS = List.of(CallKind.ONCE, CallKind.AGAIN, CallKind.STREAM,
			CallKind.MOVING);

	private static final List<CallKind> ANY_ORGANISATION = List.of(CallKind.ONCE, CallKind.AGAIN, CallKind.STREAM);

	/** One request in so many is answered with a long stream. */
	private static final int LONG_ONE_IN = 30;

	/** One stream in so many continues one that its caller has in part. */
	private static final int CONTINUED_ONE_IN = 3;

	private static final long BREAK_STREAMS_EVERY_MILLIS = 1200;

	private static final long MOST_BETWEEN_STOPS_MILLIS = 700;

	/** So long after a fault of a server a cut is the gateway's doing. */
	private static final long QUIET_MILLIS = 3200;

	private static final long CALL_EVERY_MILLIS = 12;

	private static final long LEAST_BETWEEN_FAULTS_MILLIS = 150;

	private static final long MOST_BETWEEN_FAULTS_MILLIS = 1200;

	/**
	 * Within this time after the last gateway has been started all is well again; the
	 * stops before it take longer than that from the last fault on.
	 */
	private static final long CALM_MILLIS = 6000;

	private static final long SETTLE_MILLIS = 1000;

	/** How often a server names another limit, or none any more. */
	private static final long LIMIT_EVERY_MILLIS = 1700;

	/** How often servers reject with Retry-After, or announce their departure. */
	private static final long NOTICE_EVERY_MILLIS = 1300;

	/**
	 * How often connections to the store go silent; longer than a configuration needs.
	 */
	private static final long SILENCE_EVERY_MILLIS = 6000;

	/** How often the store is restored from an older copy; some come close together. */
	private static final long DRILL_EVERY_MILLIS = 3500;

	/** How often a server comes whose answers have no end; some are there together. */
	private static final long ENDLESS_EVERY_MILLIS = 900;

	/** How often a server comes whose answers are not valid; some are there together. */
	private static final long MALFORMED_EVERY_MILLIS = 700;

	/** How often servers go silent at once; some silences overlap. */
	private static final long SILENT_SERVERS_EVERY_MILLIS = 2300;

	/** How often a data centre is evacuated; most evacuations last longer. */
	private static final long EVACUATE_EVERY_MILLIS = 2500;

	private static final long CALL_WITH_KEY_EVERY_MILLIS = 40;

	/** How often a caller of an organisation with an unusual name sends a request. */
	private static final long CALL_AS_ORGANISATION_EVERY_MILLIS = 40;

	/** How often all keys are taken away; longer than they are away. */
	private static final long WITHDRAW_EVERY_MILLIS = 8000;

	private static final long LEAST_WITHDRAWN_MILLIS = 300;

	/** Longer than a configuration needs to come into force. */
	private static final long MOST_WITHDRAWN_MILLIS = 7000;

	private static final long WITHDRAW_FIRST_MILLIS = 1000;

	/** How often a caller sends the request again that ends servers. */
	private static final long FATAL_EVERY_MILLIS = 700;

	/** How often a request comes with a part in its prompt that crashes servers. */
	private static final long CRASHING_EVERY_MILLIS = 600;

	/** Parts of prompts that crash servers; the last one stops doing so midway. */
	private static final List<String> CRASHING = List.of("bad0", "bad1");

	/** The first part of all prompts, harmless ones, too. */
	private static final String COMMON_PART = "c0";

	private static final int SESSIONS = 10;

	/** The status of a request that is rejected because it is blamed for crashes. */
	private static final int BLAMED = 400;

	/** How long a server runs that request until it ends. */
	private static final long FATAL_MILLIS = 20;

	private static final int FINAL_CALLS = 25;

	/** How often a check is made that a busy machine has spoilt. */
	private static final int CHECKS = 4;

	/** How long a check waits for a machine that is not too busy. */
	private static final long STEADY_MILLIS = 60_000;

	private static final long START_MILLIS = 30_000;

	private final Random random;

	private final Random streams;

	private final Random fatal;

	private final Random limits;

	private final Random notices;

	private final Random silences;

	private final Random keys;

	private final Random drills;

	private final Random evacuations;

	private final Random prompts;

	private final Random endless;

	private final Random silentServers;

	private final Random malformed;

	private final Random organisations;

	private final Set<SoakExtra> extras;

	private final SoakWorld world;

	private final DataLoop callerLoop = new DataLoop("soak-callers");

	private final SoakCaller caller = new SoakCaller(this.callerLoop);

	private final ScheduledExecutorService later = Executors.newSingleThreadScheduledExecutor();

	private final AtomicInteger pending = new AtomicInteger();

	private final Queue<String> problems = new ConcurrentLinkedQueue<>();

	private final List<String> played = new ArrayList<>();

	/**
	 * Starts everything that a soak needs.
	 * @param seed decides on faults and load
	 * @param extras what is played beside the usual faults
	 * @param size the numbers of gateways and servers, as a multiple of the usual ones
	 * @param folder takes settings and logs
	 * @throws IOException if something cannot be started
	 */
	SoakRun(long seed, Set<SoakExtra> extras, int size, Path folder) throws IOException {
		this.random = new Random(seed);
		this.fatal = new Random(seed + 3);
		this.limits = new Random(seed + 4);
		this.notices = new Random(seed + 5);
		this.silences = new Random(seed + 6);
		this.keys = new Random(seed + 7);
		this.drills = new Random(seed + 8);
		this.evacuations = new Random(seed + 9);
		this.prompts = new Random(seed + 10);
		this.endless = new Random(seed + 11);
		this.silentServers = new Random(seed + 12);
		this.malformed = new Random(seed + 13);
		this.organisations = new Random(seed + 14);
		this.extras = Set.copyOf(extras);
		this.streams = new Random(seed + 2);
		this.world = new SoakWorld(folder, size * GATEWAYS, size, new Random(seed + 1));
		if (extras.contains(SoakExtra.ORGANISATIONS)) {
			this.world.addOrganisations();
		}
	}

	/**
	 * Plays the soak.
	 * @param faultMillis for how long faults begin, in milliseconds
	 * @return the promises that were broken, empty if none was
	 * @throws Exception if a fault cannot be brought about
	 */
	List<String> play(long faultMillis) throws Exception {
		awaitReady();
		Random load = new Random(this.random.nextLong());
		var calling = this.later.scheduleAtFixedRate(() -> call(load), 0, CALL_EVERY_MILLIS, TimeUnit.MILLISECONDS);
		var breaking = this.later.scheduleWithFixedDelay(
				() -> SoakFaults.breakStreams(this.world, this.streams, this::after), BREAK_STREAMS_EVERY_MILLIS,
				BREAK_STREAMS_EVERY_MILLIS, TimeUnit.MILLISECONDS);
		this.world.onFatalRun((server) -> after(FATAL_MILLIS, () -> SoakFaults.crash(this.world, server, this::after)));
		var ending = this.later.scheduleAtFixedRate(this::callFatal, FATAL_EVERY_MILLIS, FATAL_EVERY_MILLIS,
				TimeUnit.MILLISECONDS);
		var crashing = this.later.scheduleAtFixedRate(this::callCrashing, 0, CRASHING_EVERY_MILLIS,
				TimeUnit.MILLISECONDS);
		beginCrashing(faultMillis / 2);
		var limiting = this.later.scheduleWithFixedDelay(this::changeLimit, LIMIT_EVERY_MILLIS, LIMIT_EVERY_MILLIS,
				TimeUnit.MILLISECONDS);
		var noticing = this.later.scheduleWithFixedDelay(this::announce, NOTICE_EVERY_MILLIS, NOTICE_EVERY_MILLIS,
				TimeUnit.MILLISECONDS);
		var silencing = this.later.scheduleWithFixedDelay(this::silenceStore, 0, SILENCE_EVERY_MILLIS,
				TimeUnit.MILLISECONDS);
		var drilling = this.later.scheduleWithFixedDelay(this::drill, DRILL_EVERY_MILLIS, DRILL_EVERY_MILLIS,
				TimeUnit.MILLISECONDS);
		var sendingWithoutEnd = this.later.scheduleWithFixedDelay(this::sendWithoutEnd, ENDLESS_EVERY_MILLIS,
				ENDLESS_EVERY_MILLIS, TimeUnit.MILLISECONDS);
		var sendingMalformed = this.later.scheduleWithFixedDelay(this::sendMalformed, MALFORMED_EVERY_MILLIS,
				MALFORMED_EVERY_MILLIS, TimeUnit.MILLISECONDS);
		var silencingServers = this.later.scheduleWithFixedDelay(this::silenceServers, 0, SILENT_SERVERS_EVERY_MILLIS,
				TimeUnit.MILLISECONDS);
		var evacuating = this.later.scheduleWithFixedDelay(this::evacuate, EVACUATE_EVERY_MILLIS, EVACUATE_EVERY_MILLIS,
				TimeUnit.MILLISECONDS);
		var callingWithKeys = this.later.scheduleAtFixedRate(this::callWithKey, 0, CALL_WITH_KEY_EVERY_MILLIS,
				TimeUnit.MILLISECONDS);
		var callingAsOrganisations = this.later.scheduleAtFixedRate(this::callAsOrganisation, 0,
				CALL_AS_ORGANISATION_EVERY_MILLIS, TimeUnit.MILLISECONDS);
		var withdrawing = this.later.scheduleAtFixedRate(this::withdrawKeys, WITHDRAW_FIRST_MILLIS,
				WITHDRAW_EVERY_MILLIS, TimeUnit.MILLISECONDS);
		long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(faultMillis);
		while (System.nanoTime() < endNanos) {
			TimeUnit.MILLISECONDS.sleep(LEAST_BETWEEN_FAULTS_MILLIS
					+ this.random.nextLong(MOST_BETWEEN_FAULTS_MILLIS - LEAST_BETWEEN_FAULTS_MILLIS));
			String name = SoakFaults.names().get(this.random.nextInt(SoakFaults.names().size()));
			this.played.add(name);
			SoakFaults.of(name).begin(this.world, this.random, this::after);
		}
		breaking.cancel(false);
		limiting.cancel(false);
		noticing.cancel(false);
		drilling.cancel(false);
		sendingWithoutEnd.cancel(false);
		sendingMalformed.cancel(false);
		evacuating.cancel(false);
		withdrawing.cancel(false);
		this.world.servers().forEach((server) -> server.server().limit(LimitChange.NONE));
		awaitPending();
		if (this.extras.contains(SoakExtra.EVACUATIONS)) {
			SoakEvacuations.beginLast(this.world);
		}
		stopTogether();
		silencingServers.cancel(false);
		TimeUnit.MILLISECONDS.sleep(CALM_MILLIS);
		calling.cancel(false);
		ending.cancel(false);
		crashing.cancel(false);
		silencing.cancel(false);
		callingWithKeys.cancel(false);
		callingAsOrganisations.cancel(false);
		awaitAnswers();
		checkComeBack();
		checkInForce();
		List<String> broken = new ArrayList<>(this.problems);
		this.caller.malformedResponses().forEach((line) -> broken.add("responses of gateways are not valid: " + line));
		broken.addAll(SoakRules.broken(this.world.history(this.caller.calls())));
		return broken;
	}

	// Streams that are still open would fill the servers that the checks count on.
	private void awaitAnswers() throws InterruptedException {
		long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_MILLIS);
		while (this.caller.open() > 0 && System.nanoTime() < endNanos) {
			TimeUnit.MILLISECONDS.sleep(50);
		}
	}

	private void stopTogether() throws InterruptedException {
		TimeUnit.MILLISECONDS.sleep(QUIET_MILLIS);
		List<SoakGateway> order = new ArrayList<>(this.world.gateways());
		Collections.shuffle(order, this.random);
		// All but one, so that callers still come to those that stop.
		for (SoakGateway gateway : order.subList(0, order.size() - 1)) {
			SoakFaults.stop(this.world, gateway, this::after);
			TimeUnit.MILLISECONDS.sleep(this.random.nextLong(MOST_BETWEEN_STOPS_MILLIS));
		}
		awaitPending();
	}

	List<String> played() {
		return this.played;
	}

	String summary() {
		List<Call> calls = this.caller.calls();
		long served = calls.stream().filter(Call::served).count();
		return calls.size() + " requests, " + served + " served, " + this.played.size() + " faults " + this.played
				+ ", " + this.world.store().calls() + " store calls";
	}

	private void after(long millis, SoakFault.Work work) {
		this.pending.incrementAndGet();
		afterUncounted(millis, () -> {
			try {
				work.run();
			}
			finally {
				this.pending.decrementAndGet();
			}
		});
	}

	// Nobody waits for what goes on until the soak is over.
	private void afterUncounted(long millis, SoakFault.Work work) {
		this.later.schedule(() -> {
			try {
				work.run();
			}
			catch (Exception ex) {
				this.problems.add("the soak itself failed: " + ex);
			}
		}, millis, TimeUnit.MILLISECONDS);
	}

	private void awaitPending() throws InterruptedException {
		while (this.pending.get() > 0) {
			TimeUnit.MILLISECONDS.sleep(50);
		}
	}

	private void awaitReady() throws Exception {
		long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_MILLIS);
		for (SoakGateway gateway : this.world.gateways()) {
			while (!this.caller.send(gateway, CallKind.AGAIN, SoakWorld.KEY).get().served()) {
				if (System.nanoTime() > endNanos) {
					throw new IllegalStateException(gateway.name() + " does not serve");
				}
				TimeUnit.MILLISECONDS.sleep(200);
			}
		}
	}

	private void call(Random load) {
		SoakGateway gateway = this.world.gateways().get(load.nextInt(this.world.gateways().size()));
		boolean isLong = load.nextInt(LONG_ONE_IN) == 0;
		CallKind kind = isLong ? CallKind.LONG : KINDS.get(load.nextInt(KINDS.size()));
		boolean continued = kind == CallKind.STREAM && load.nextInt(CONTINUED_ONE_IN) == 0;
		this.caller.send(gateway, kind, SoakWorld.KEY, continued ? 1 + load.nextInt(Answers.EVENTS - 1) : 0);
	}

	private void callFatal() {
		if (this.extras.contains(SoakExtra.FATAL)) {
			SoakGateway gateway = this.world.gateways().get(this.fatal.nextInt(this.world.gateways().size()));
			this.caller.sendAgain(gateway, CallKind.FATAL, SoakWorld.KEY, "fatal");
		}
	}

	private void beginCrashing(long oneStopsMillis) {
		if (this.extras.contains(SoakExtra.CRASHING_PARTS)) {
			CRASHING.forEach(this.world::crashOn);
			after(oneStopsMillis, () -> this.world.stopCrashingOn(CRASHING.get(CRASHING.size() - 1)));
		}
	}

	private void callCrashing() {
		if (this.extras.contains(SoakExtra.CRASHING_PARTS)) {
			send(List.of(COMMON_PART, CRASHING.get(this.prompts.nextInt(CRASHING.size()))));
			send(List.of(COMMON_PART, "5e55" + this.prompts.nextInt(SESSIONS)));
		}
	}

	private CompletableFuture<Call> send(List<String> sharedParts) {
		SoakGateway gateway = this.world.gateways().get(this.prompts.nextInt(this.world.gateways().size()));
		return this.caller.sendPrompt(gateway, CallKind.STREAM, SoakWorld.KEY, sharedParts);
	}

	private void changeLimit() {
		if (this.extras.contains(SoakExtra.LIMITS)) {
			SoakFaults.changeLimit(this.world, this.limits);
		}
	}

	private void announce() {
		if (this.extras.contains(SoakExtra.NOTICES)) {
			SoakFaults.announce(this.world, this.notices, this::after);
		}
	}

	private void silenceStore() {
		if (this.extras.contains(SoakExtra.SILENT_STORE)) {
			SoakFaults.silenceStore(this.world, this.silences, this::after);
		}
	}

	private void sendWithoutEnd() {
		if (this.extras.contains(SoakExtra.ENDLESS)) {
			SoakFaults.sendWithoutEnd(this.world, this.endless, this::after);
		}
	}

	private void sendMalformed() {
		if (this.extras.contains(SoakExtra.MALFORMED)) {
			SoakFaults.sendMalformed(this.world, this.malformed, this::after);
		}
	}

	private void silenceServers() {
		if (this.extras.contains(SoakExtra.SILENT_SERVERS)) {
			SoakSilences.begin(this.world, this.silentServers, this::afterUncounted);
		}
	}

	private void drill() {
		if (this.extras.contains(SoakExtra.DRILLS)) {
			SoakFaults.drill(this.world, this.drills, this::after);
		}
	}

	private void evacuate() {
		if (this.extras.contains(SoakExtra.EVACUATIONS)) {
			SoakEvacuations.begin(this.world, this.evacuations, this::after);
		}
	}

	// With the newest key, or with the one that it has replaced.
	private void callWithKey() {
		if (this.extras.contains(SoakExtra.SILENT_STORE)) {
			List<WrittenConfiguration> written = this.world.configurations();
			int back = 1 + this.keys.nextInt(Math.min(written.size(), 2));
			SoakGateway gateway = this.world.gateways().get(this.keys.nextInt(this.world.gateways().size()));
			this.caller.send(gateway, CallKind.AGAIN, written.get(written.size() - back).key());
		}
	}

	private void callAsOrganisation() {
		if (this.extras.contains(SoakExtra.ORGANISATIONS)) {
			SoakGateway gateway = this.world.gateways().get(this.organisations.nextInt(this.world.gateways().size()));
			this.caller.send(gateway, ANY_ORGANISATION.get(this.organisations.nextInt(ANY_ORGANISATION.size())),
					randomOf(SoakOrganisations.allKeys()));
		}
	}

	private String randomOf(List<String> organisationKeys) {
		return organisationKeys.get(this.organisations.nextInt(organisationKeys.size()));
	}

	private void withdrawKeys() {
		if (this.extras.contains(SoakExtra.ORGANISATIONS)) {
			this.world.withdrawKeys(true);
			after(LEAST_WITHDRAWN_MILLIS + this.organisations.nextLong(MOST_WITHDRAWN_MILLIS - LEAST_WITHDRAWN_MILLIS),
					() -> this.world.withdrawKeys(false));
		}
	}

	private void checkComeBack() throws Exception {
		for (SoakGateway gateway : this.world.gateways()) {
			for (CallKind kind : KINDS) {
				expect(gateway, kind, SoakWorld.KEY, 200, "after all faults");
			}
		}
		if (this.extras.contains(SoakExtra.CRASHING_PARTS)) {
			checkHarmlessPrompts();
		}
		if (this.extras.contains(SoakExtra.ORGANISATIONS)) {
			checkOrganisations();
		}
	}

	private void checkOrganisations() throws Exception {
		for (SoakGateway gateway : this.world.gateways()) {
			expect(gateway, CallKind.AGAIN, randomOf(SoakOrganisations.validKeys()), 200, "of an unusual name");
			expect(gateway, CallKind.AGAIN, randomOf(SoakOrganisations.unusableKeys()), 401, "of an unusable name");
		}
	}

	private void checkHarmlessPrompts() throws Exception {
		List<CompletableFuture<Call>> calls = new ArrayList<>();
		for (int i = 0; i < FINAL_CALLS; i++) {
			calls.add(send(List.of(COMMON_PART, "5e55" + this.prompts.nextInt(SESSIONS))));
			TimeUnit.MILLISECONDS.sleep(CALL_EVERY_MILLIS);
		}
		int rejected = 0;
		for (CompletableFuture<Call> call : calls) {
			rejected += (call.get(START_MILLIS, TimeUnit.MILLISECONDS).status() == BLAMED) ? 1 : 0;
		}
		if (rejected > 0) {
			this.problems.add(rejected + " of " + FINAL_CALLS + " requests were rejected for harmless parts");
		}
	}

	private void checkInForce() throws Exception {
		if (this.extras.contains(SoakExtra.SILENT_STORE)) {
			// All watches begin again after a change, so that a silent one stays silent
			// longest.
			this.world.reconfigure();
			TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
			this.world.gateways().forEach((gateway) -> SoakFaults.silenceStore(this.world, gateway));
		}
		String formerKey = this.world.passingKey();
		this.world.reconfigure();
		TimeUnit.MILLISECONDS.sleep(ConfigurationsComeInForce.IN_FORCE_MILLIS);
		for (SoakGateway gateway : this.world.gateways()) {
			expect(gateway, CallKind.AGAIN, this.world.passingKey(), 200, "with a key that was added");
			expect(gateway, CallKind.AGAIN, formerKey, 401, "with a key that was taken away");
		}
		long fromNanos = System.nanoTime();
		for (SoakGateway gateway : this.world.gateways()) {
			expect(gateway, CallKind.MOVING, SoakWorld.KEY, 200, "on a route that was moved");
		}
		this.world.history(List.of())
			.runs()
			.stream()
			.filter((run) -> run.atNanos() > fromNanos && run.target().startsWith(CallKind.MOVING.prefix())
					&& !run.service().equals(this.world.movingTo()))
			.forEach((run) -> this.problems.add("an old configuration is in force: " + run));
	}

	// A check during which the machine was too busy says nothing and is made again.
	private void expect(SoakGateway gateway, CallKind kind, String key, int status, String when) throws Exception {
		for (int attempt = 1; attempt <= CHECKS; attempt++) {
			this.world.loopWatch().awaitSteady(STEADY_MILLIS);
			long fromNanos = System.nanoTime();
			int missed = countMissed(gateway, kind, key, status);
			if (missed <= FINAL_CALLS / 5) {
				return;
			}
			if (!this.world.loopWatch().lateSince(fromNanos) || attempt == CHECKS) {
				this.problems.add(gateway.name() + " answers " + missed + " of " + FINAL_CALLS + " " + kind
						+ " not with " + status + " " + when);
				return;
			}
		}
	}

	private int countMissed(SoakGateway gateway, CallKind kind, String key, int status) throws Exception {
		List<CompletableFuture<Call>> pendingCalls = new ArrayList<>();
		for (int i = 0; i < FINAL_CALLS; i++) {
			pendingCalls.add(this.caller.send(gateway, kind, key));
			TimeUnit.MILLISECONDS.sleep(CALL_EVERY_MILLIS);
		}
		int missed = 0;
		for (CompletableFuture<Call> call : pendingCalls) {
			missed += (call.get(START_MILLIS, TimeUnit.MILLISECONDS).status() == status) ? 0 : 1;
		}
		return missed;
	}

	@Override
	public void close() throws IOException {
		this.later.shutdownNow();
		this.caller.close();
		this.world.close();
		this.callerLoop.close();
	}

}
