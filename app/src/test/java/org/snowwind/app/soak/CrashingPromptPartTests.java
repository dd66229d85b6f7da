package org.snowwind.app.soak;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.snowwind.http.DataLoop;
import org.snowwind.platform.standin.Run;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that gateways recognise a part of prompts that crashes servers, whichever
 * requests have it, and that requests which share only other parts with these are served.
 */
class CrashingPromptPartTests {

	private static final int GATEWAYS = 3;

	private static final int SERVERS = 14;

	private static final int SESSIONS = 20;

	private static final String COMMON = "c0";

	private static final String CRASHING = "badbad";

	private static final long SOUND_EVERY_MILLIS = 30;

	private static final long UNTIL_CRASH_MILLIS = 60;

	private static final long CALM_MILLIS = 3000;

	private static final long CRASHING_MILLIS = 18_000;

	private static final long START_MILLIS = 30_000;

	/** The users' bound on what is served beside the part, against before. */
	private static final double LEAST_SERVED_AGAINST_BEFORE = 0.5;

	private final DataLoop callerLoop = new DataLoop("part-callers");

	private final SoakCaller caller = new SoakCaller(this.callerLoop);

	private final ScheduledExecutorService later = Executors.newSingleThreadScheduledExecutor();

	private final Random load = new Random(5);

	private final Queue<Call> sound = new ConcurrentLinkedQueue<>();

	private SoakWorld world;

	private long calmUntilNanos;

	@BeforeEach
	void start(@TempDir Path folder) throws Exception {
		this.world = new SoakWorld(Files.createDirectories(folder), GATEWAYS, new Random(1));
		while (this.world.servers().size() < SERVERS) {
			this.world.addServer(SoakWorld.STREAMING);
		}
		this.world
			.onFatalRun((server) -> after(UNTIL_CRASH_MILLIS, () -> SoakFaults.crash(this.world, server, this::after)));
		awaitServing();
		this.later.scheduleAtFixedRate(this::sendSound, 0, SOUND_EVERY_MILLIS, TimeUnit.MILLISECONDS);
		TimeUnit.MILLISECONDS.sleep(CALM_MILLIS);
		this.calmUntilNanos = System.nanoTime();
	}

	@AfterEach
	void stop() throws Exception {
		this.later.shutdownNow();
		this.caller.close();
		this.world.close();
		this.callerLoop.close();
	}

	private void after(long millis, SoakFault.Work work) {
		this.later.schedule(() -> {
			work.run();
			return true;
		}, millis, TimeUnit.MILLISECONDS);
	}

	private void awaitServing() throws Exception {
		long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_MILLIS);
		for (SoakGateway gateway : this.world.gateways()) {
			while (!this.caller.send(gateway, CallKind.STREAM, SoakWorld.KEY).get().served()) {
				assertThat(System.nanoTime()).as("the gateway serves in time").isLessThan(endNanos);
				TimeUnit.MILLISECONDS.sleep(200);
			}
		}
	}

	private CompletableFuture<Call> send(List<String> parts) {
		SoakGateway gateway = this.world.gateways().get(this.load.nextInt(GATEWAYS));
		return this.caller.sendPrompt(gateway, CallKind.STREAM, SoakWorld.KEY, parts);
	}

	private void sendSound() {
		send(List.of(COMMON, "5e55" + this.load.nextInt(SESSIONS))).thenAccept(this.sound::add);
	}

	private void crashOn(List<String> parts, long everyMillis) {
		this.world.crashOn(CRASHING);
		this.later.scheduleAtFixedRate(() -> send(parts), 0, everyMillis, TimeUnit.MILLISECONDS);
	}

	private SoakHistory history() {
		return this.world.history(this.caller.calls());
	}

	private double servedShare(long fromNanos, long untilNanos) {
		List<Call> sent = this.sound.stream()
			.filter((call) -> call.sentNanos() >= fromNanos && call.sentNanos() < untilNanos)
			.toList();
		assertThat(sent).hasSizeGreaterThan(20);
		return sent.stream().filter(Call::served).count() / (double) sent.size();
	}

	private void assertKeptBackAndOthersServed() {
		assertThat(new CrashingPartsAreKeptBack().broken(history())).isEmpty();
		List<Run> runs = CrashingPartsAreKeptBack.runs(history(), CRASHING);
		long knownNanos = Math.min(CrashingPartsAreKeptBack.fifthCrashNanos(runs), runs.get(runs.size() - 1).atNanos());
		long fromNanos = knownNanos + 2 * CrashingPartsAreKeptBack.KNOWN_NANOS;
		double before = servedShare(0, this.calmUntilNanos);
		double since = servedShare(fromNanos, System.nanoTime() - TimeUnit.SECONDS.toNanos(1));
		assertThat(since).as("share served since, %s before", before)
			.isGreaterThanOrEqualTo(LEAST_SERVED_AGAINST_BEFORE * before);
	}

	@ParameterizedTest
	@CsvSource({ "c0 badbad 77, 300", "badbad 77, 300", "c0 badbad, 1600" })
	void requestsThatShareACrashingPromptPartAreKeptFromServers(String parts, long everyMillis) throws Exception {
		crashOn(List.of(parts.split(" ")), everyMillis);
		TimeUnit.MILLISECONDS.sleep(CRASHING_MILLIS);
		assertKeptBackAndOthersServed();
	}

	@Test
	void knowledgeOfACrashingPromptPartOutlivesAllGateways() throws Exception {
		crashOn(List.of(COMMON, CRASHING), 300);
		TimeUnit.MILLISECONDS.sleep(CRASHING_MILLIS / 3);
		for (SoakGateway gateway : this.world.gateways()) {
			gateway.process().kill();
		}
		for (SoakGateway gateway : this.world.gateways()) {
			gateway.process().close();
			gateway.start();
		}
		TimeUnit.MILLISECONDS.sleep(CRASHING_MILLIS);
		assertKeptBackAndOthersServed();
	}

	@Test
	void serversThatCrashOnTheirOwnBlockNoPromptPart() throws Exception {
		Random chosen = new Random(3);
		this.later.scheduleAtFixedRate(
				() -> after(0,
						() -> SoakFaults.crash(this.world,
								this.world.servers().get(chosen.nextInt(this.world.servers().size())), this::after)),
				0, 1200, TimeUnit.MILLISECONDS);
		TimeUnit.MILLISECONDS.sleep(CRASHING_MILLIS);
		assertThat(this.caller.calls()).noneMatch((call) -> call.status() == 400);
	}

}
